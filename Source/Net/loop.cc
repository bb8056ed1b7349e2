#include "Net/loop.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>
#include <utility>

namespace buckthorncart {
namespace {

constexpr int kKeepaliveSeconds = 60;
/// Deadlines are enforced by the `Kernel`; the timeout of the library only
/// closes connections that have been leaked.
constexpr unsigned kLibraryTimeoutSeconds = 4'000;
constexpr unsigned kConnectTimeoutSeconds = 3;
constexpr unsigned kServiceBufferBytes = 65'536;

volatile std::sig_atomic_t g_shutdown_requested = 0;
volatile std::sig_atomic_t g_reload_requested = 0;
lws_context* g_signalled_context = nullptr;

void OnSignal(int signal) {
  (signal == SIGHUP ? g_reload_requested : g_shutdown_requested) = 1;
  if (g_signalled_context != nullptr) lws_cancel_service(g_signalled_context);
}

int NoOpCallback(lws* /*wsi*/, lws_callback_reasons /*reason*/, void* /*user*/,
                 void* /*in*/, size_t /*len*/) {
  return 0;
}

const lws_protocols kNoProtocols[] = {
    {"none", NoOpCallback, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0}};

/// Returns true if `address` can be bound, which is tested by binding and
/// releasing it. The library does not report why it could not listen.
bool CanBind(Address address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_addr.s_addr = htonl(address.ip);
  socket_address.sin_port = htons(address.port);
  const bool bound = bind(fd, reinterpret_cast<sockaddr*>(&socket_address),
                          sizeof(socket_address)) == 0;
  close(fd);
  return bound;
}

}  // namespace

Loop::Loop(int fd_limit) {
  lws_set_log_level(0, nullptr);
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = kNoProtocols;
  info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.fd_limit_per_thread = static_cast<unsigned>(fd_limit);
  info.pt_serv_buf_size = kServiceBufferBytes;
  context_ = lws_create_context(&info);
  timer_.loop = this;
}

Loop::~Loop() { Close(); }

void Loop::Close() {
  if (std::exchange(closing_, true)) return;
  if (g_signalled_context == context_) g_signalled_context = nullptr;
  lws_context_destroy(context_);
  context_ = nullptr;
}

void Loop::Run() {
  while (!stopped_) {
    ScheduleNext();
    if (lws_service(context_, 0) < 0) break;
    RunDueTasks();
    if (g_reload_requested != 0 && on_reload_) {
      g_reload_requested = 0;
      on_reload_();
    }
    if (g_shutdown_requested == 0 || !on_shutdown_) continue;
    g_shutdown_requested = 0;
    on_shutdown_();
  }
  Close();
}

void Loop::Stop() {
  stopped_ = true;
  // A timer may run just before the library waits for sockets; this ends the
  // wait.
  if (context_ != nullptr) lws_cancel_service(context_);
}

Loop::TaskKey Loop::RunAt(Time due, std::function<void()> task) {
  const TaskKey key{due, ++last_task_};
  tasks_.emplace(key, std::move(task));
  return key;
}

void Loop::RunIn(Duration delay, std::function<void()> task) {
  RunAt(Now() + delay, std::move(task));
}

void Loop::OnShutdownSignal(std::function<void()> handler) {
  on_shutdown_ = std::move(handler);
  g_signalled_context = context_;
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

void Loop::OnReloadSignal(std::function<void()> handler) {
  on_reload_ = std::move(handler);
  g_signalled_context = context_;
  std::signal(SIGHUP, OnSignal);
}

Time Loop::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::duration_cast<Time>(
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

uint64_t Loop::WallMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void Loop::OnTimer(lws_sorted_usec_list_t* sul) {
  Loop& loop = *reinterpret_cast<Timer*>(sul)->loop;
  loop.RunDueTasks();
  // The library may wait for sockets again without returning to `Run`.
  loop.ScheduleNext();
}

void Loop::RunDueTasks() {
  // Tasks that are added while these run are left for the next round, so that
  // sockets are served between two rounds of timers.
  const Time now = Now();
  const auto end = tasks_.upper_bound({now, last_task_});
  std::vector<std::function<void()>> due;
  for (auto it = tasks_.begin(); it != end; ++it) {
    due.push_back(std::move(it->second));
  }
  tasks_.erase(tasks_.begin(), end);
  for (const auto& task : due) task();
}

void Loop::ScheduleNext() {
  if (tasks_.empty()) return;
  const Duration delay =
      std::max(tasks_.begin()->first.first - Now(), Duration(1));
  lws_sul_schedule(context_, 0, &timer_.sul, OnTimer, delay.count());
}

Result<lws_vhost*> Loop::AddVhost(const std::string& name, Address address,
                                  const lws_protocols* protocols, bool raw) {
  const Failure in_use{Errc::kAddressInUse, address.ToString(),
                       "a free address of this VM",
                       "choose another address or end the process that "
                       "listens there"};
  if (address.IsSet() && !CanBind(address)) return tl::unexpected(in_use);
  const std::string ip = address.IpString();
  lws_context_creation_info info{};
  info.vhost_name = name.c_str();
  info.protocols = protocols;
  info.port = address.IsSet() ? address.port : CONTEXT_PORT_NO_LISTEN;
  info.iface = address.IsSet() ? ip.c_str() : nullptr;
  info.keepalive_timeout = kKeepaliveSeconds;
  info.timeout_secs = kLibraryTimeoutSeconds;
  info.connect_timeout_secs = kConnectTimeoutSeconds;
  info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  if (raw) {
    info.options |= LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = protocols[0].name;
  }
  lws_vhost* vhost = lws_create_vhost(context_, &info);
  if (vhost == nullptr) return tl::unexpected(in_use);
  return vhost;
}

}  // namespace buckthorncart
