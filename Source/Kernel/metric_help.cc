#include "Kernel/metric_help.h"

#include <algorithm>
#include <iterator>

namespace buckthorncart {
namespace {

struct Entry {
  std::string_view name;
  std::string_view help;
};

constexpr Entry kEntries[] = {
    {"calls_total", "Requests from callers, calls."},
    {"call_attempts_total", "Calls sent to an admitting daemon, attempts."},
    {"calls_ran_total", "Calls answered by a backend server, calls."},
    {"calls_not_run_total", "Calls refused with outcome not-run, calls."},
    {"calls_unknown_total", "Calls answered with outcome unknown, calls."},
    {"call_retries_total", "Attempts after the first one, attempts."},
    {"callers_left_total", "Calls whose caller disconnected early, calls."},
    {"membership_invalid_records_total",
     "Member records with a field out of range, records."},
    {"health_checks_total",
     "Health checks of a backend server whose state is unconfirmed, checks."},
    {"health_checks_confirmed_total",
     "Health checks that confirmed that it is not leaving, checks."},
    {"leave_record_reads_total",
     "Reads of the record that the backend server has left, calls."},
    {"leave_record_writes_total",
     "Writes of the record that the backend server has left, calls."},
    {"leave_record_held_by_peers_total",
     "Departures recorded by other daemons in place of the platform, "
     "departures."},
    {"calls_active", "Calls without a complete answer, calls."},
    {"caller_body_bytes",
     "Memory of the bodies of requests that are read or answered, bytes."},
    {"client_buffer_bytes",
     "Memory of heads, small bodies, unparsed bytes and unsent answers of all "
     "clients, bytes."},
    {"client_connections_gave_way_total",
     "Connections that gave up a request or an answer because memory was "
     "short, connections."},
    {"client_connections_evicted_total",
     "Connections closed in favour of new ones at the connection limit, "
     "connections."},
    {"caller_bodies_refused_total",
     "Requests refused because their bodies did not fit in memory, requests."},
    {"answer_pauses_total",
     "Pauses in reading an answer because of a slow caller, pauses."},
    {"answer_resumes_total", "Answers whose reading was resumed, resumes."},
    {"ejections_total", "Backend servers excluded after failures, ejections."},
    {"backend_connections_total",
     "Connections opened to the backend server, connections."},
    {"followed_versions_taken_total",
     "Configurations adopted from the platform or a peer, versions."},
    {"followed_versions_held_back_total",
     "Configurations that could not be adopted, versions."},
    {"followed_reads_total", "Reads of the configuration, calls."},
    {"followed_watches_total", "Watches of the configuration, calls."},
    {"followed_histories_lost_total",
     "Watches whose history the platform no longer had, calls."},
    {"followed_peer_pulls_total",
     "Configurations requested from a peer, requests."},
    {"followed_deltas_taken_total",
     "Deltas of the configuration adopted from peers, deltas."},
    {"followed_deltas_pushed_total",
     "Deltas of the configuration sent to daemons that rely on this one, "
     "deltas."},
    {"followed_delta_gaps_total",
     "Deltas that did not apply to the held version, deltas."},
    {"log_lines_dropped_total",
     "Log lines dropped because standard output was blocked, lines."},
    {"calls_by_result_total", "Calls by route, outcome and reason, calls."},
    {"call_seconds", "Time from a request to the end of its answer, seconds."},
    {"queue_wait_seconds", "Time that calls waited for a slot, seconds."},
    {"run_seconds", "Duration of runs at the backend server, seconds."},
    {"platform_call_seconds", "Duration of calls to the platform, seconds."},
    {"configuration_age_seconds",
     "Time since the configuration was last confirmed, seconds."},
    {"backend_announcement_age_seconds",
     "Time since the backend server last announced itself, seconds."},
    {"admission_runs_total", "Calls started on the backend server, calls."},
    {"admission_refused_total", "Calls refused by this daemon, calls."},
    {"admission_bodies_transferred_total",
     "Bodies that arrived after this daemon asked for them, bodies."},
    {"admission_queued_total", "Calls that waited for a slot, calls."},
    {"admission_expired_in_queue_total",
     "Calls whose deadline passed in the queue, calls."},
    {"admission_completed_total", "Runs with a complete answer, calls."},
    {"admission_broken_total", "Runs whose answer broke off, calls."},
    {"admission_cancelled_total",
     "Runs cancelled by the caller or past their deadline, calls."},
    {"admission_slots_in_use", "Slots of the backend server in use, slots."},
    {"admission_queue_length", "Calls waiting for a slot, calls."},
    {"objective_calls_total", "Calls counted against objectives, calls."},
    {"objective_failures_total",
     "Counted calls with outcome unknown or not-run, calls."},
    {"objective_slow_calls_total",
     "Counted calls over the latency objective, calls."},
    {"objective_excluded_calls_total",
     "Routed calls not counted: ended by their caller or of a deleted service, "
     "calls."},
    {"configuration_version",
     "Version that this daemon holds, version number."},
    {"configuration_floor_known",
     "1 when the held version may be served, 0 otherwise."},
    {"configuration_head_reads_total", "Reads of the row `head`, reads."},
    {"configuration_hints_sent_total",
     "Notifications of a version sent to peers, messages."},
    {"configuration_pulls_sent_total",
     "Requests for changes sent to peers, messages."},
    {"configuration_pulls_served_total",
     "Requests for changes answered, messages."},
    {"configuration_pushes_sent_total", "Changes pushed to peers, messages."},
    {"configuration_platform_catch_ups_total",
     "Catch-ups from the platform, catch-ups."},
    {"configuration_snapshots_served_total", "Snapshots sent, snapshots."},
    {"configuration_snapshots_refused_total",
     "Snapshots refused by this daemon when busy, snapshots."},
    {"configuration_stale_ignored_total",
     "Ignored changes below the held version, changes."},
    {"configuration_versions_held_back_total",
     "Versions that failed the digest check or validation, versions."},
    {"configuration_versions_taken_total", "Versions adopted, versions."},
    {"operations_accepted_total",
     "Changes accepted by this daemon, operations."},
    {"operations_refused_total", "Changes refused by this daemon, operations."},
    {"operations_undecided_total", "Changes left undecided, operations."},
    {"operations_rebased_total",
     "Changes rebased on a newer version, operations."},
    {"operations_answers_lost_total",
     "Transactions whose answer was lost, transactions."},
    {"members", "Known daemons other than this one, daemons."},
    {"membership_probes_total", "Probes sent, datagrams."},
    {"membership_probes_unanswered_total",
     "Probes without an answer, datagrams."},
    {"membership_suspicions_total", "Daemons suspected, suspicions."},
    {"membership_refutations_total",
     "Suspicions of this daemon that it refuted, refutations."},
    {"membership_members_gone_total", "Daemons declared gone, daemons."},
    {"membership_full_pulls_total",
     "Requests for whole member lists, messages."},
    {"platform_requests_total", "Requests to the platform, requests."},
    {"platform_unavailable_total",
     "Requests that the platform did not carry out, requests."},
    {"platform_unknown_total",
     "Requests whose answer was lost or late, requests."},
    {"platform_queue_full_total",
     "Requests refused because the queue was full, requests."},
    {"platform_queue_length", "Requests waiting for the platform, requests."},
    {"platform_available", "1 while the platform answers, 0 otherwise."},
    {"platform_restores_total",
     "Restores of the platform's store from an older copy that were detected, "
     "restores."},
    {"peer_connections", "Open connections to daemons, connections."},
    {"peer_sent_bytes_total", "Sent to daemons over TCP, bytes."},
    {"peer_received_bytes_total", "Received from daemons over TCP, bytes."},
    {"control_sent_bytes_total",
     "Sent for configuration and membership over TCP and UDP, bytes."},
    {"datagram_sent_bytes_total", "Sent over UDP, bytes."},
    {"datagram_received_bytes_total", "Received over UDP, bytes."},
    {"calls_unknown_key_total",
     "Requests refused because their API key is missing or unknown, requests."},
    {"workspaces", "Workspaces of the held configuration, workspaces."},
    {"workspace_keys", "Valid API keys of all workspaces, keys."},
    {"freshness_checks_total",
     "Checks with the platform whether the held configuration is current, "
     "calls."},
    {"freshness_failed_checks_total",
     "Checks that the platform did not answer, calls."},
    {"freshness_reports_sent_total",
     "Reports to other daemons that a configuration is current, messages."},
    {"freshness_reports_received_total",
     "Reports from other daemons that a configuration is current, messages."},
    {"freshness_queries_total",
     "Queries to other daemons whether the configuration is current, "
     "messages."},
    {"followed_versions_without_workspaces_total",
     "Versions refused because their sender does not read workspaces, "
     "versions."},
    {"rollout_reports_total",
     "Reports on roll-outs sent to the decider, messages."},
    {"rollout_states_total", "States of roll-outs received, messages."},
    {"rollout_rejections_total",
     "Versions that this daemon stopped using by its own evidence, versions."},
    {"rollout_decider",
     "1 while this daemon decides on roll-outs, 0 otherwise."},
    {"rollout_take_overs_total",
     "Times that this daemon became the decider, times."},
    {"rollout_order_scans_total", "Reads of the roll-out orders, calls."},
    {"rollout_writes_total", "Writes of states of roll-outs, calls."},
    {"rollout_steps_total", "Steps of roll-outs that were stored, steps."},
    {"rollouts_succeeded_total", "Roll-outs that succeeded, roll-outs."},
    {"rollouts_rolled_back_total",
     "Roll-outs that were rolled back, roll-outs."},
    {"bad_frames_total", "Malformed, truncated or oversized frames, frames."},
    {"caller_requests_overlapped_total",
     "Requests started while an earlier one of the connection was being "
     "answered, requests."},
    {"caller_requests_waited_total",
     "Requests that waited for the answers before them, requests."},
    {"caller_requests_dropped_total",
     "Requests read but not forwarded, behind a closing answer, requests."},
    {"caller_requests_cancelled_total",
     "Requests cancelled because an answer before them broke off, requests."},
    {"admission_expired_in_transit_total",
     "Calls whose deadline passed on the way from another daemon, calls."},
    {"admission_slots",
     "Requests that may run at the backend server at the same time, as "
     "announced or learned, slots."},
    {"backend_pace_ratio",
     "Run times of the backend server as a multiple of those typical of the "
     "routes, ratio; 0 if not learned."},
    {"capacity_reports_total",
     "Changes of the learned capacity or pace in the member record, changes."},
};

/// "queue_length" as "Queue length.".
std::string HelpFromName(std::string_view name) {
  std::string text(name);
  if (text.ends_with("_total")) text.resize(text.size() - 6);
  std::replace(text.begin(), text.end(), '_', ' ');
  if (!text.empty()) text[0] = static_cast<char>(std::toupper(text[0]));
  return text + ".";
}

}  // namespace

std::string MetricHelp(std::string_view name) {
  const auto* it =
      std::find_if(std::begin(kEntries), std::end(kEntries),
                   [name](const Entry& entry) { return entry.name == name; });
  return it == std::end(kEntries) ? HelpFromName(name) : std::string(it->help);
}

}  // namespace buckthorncart
