#pragma once

/// \file
/// A small deployment for the second review. The platform's store, backend
/// servers and clients are stand-ins that run in threads of the test program;
/// the daemons are separate processes.
///
/// All addresses are in one network 127.A.B.0/24 that is derived from the
/// process id.

#include <filesystem>

#include "configuration.h"
#include "node.h"
#include "store.h"
#include "upstream.h"

namespace review {

/// What runs on one machine.
struct Machine {
  std::string service;
  std::string zone;
};

/// A store and some machines, each with a daemon and its backend server. Ends
/// all processes and removes the temporary folder when it is destroyed.
class Fleet {
 public:
  explicit Fleet(const std::vector<Machine>& machines)
      : folder_(MakeFolder()), store_({HostIp(kStoreHost), kStorePort}) {
    int n = 0;
    for (const Machine& machine : machines) {
      nodes_.push_back(
          std::make_unique<Node>(++n, machine.service, store_.Where(), folder_,
                                 NodeOptions{.zone = machine.zone}));
    }
  }
  ~Fleet() {
    servers_.clear();
    nodes_.clear();
    store_.Away();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything and waits until all daemons are ready and the backend
  /// servers known.
  bool Start(const std::string& configuration) {
    if (folder_.empty() || !store_.Start()) return false;
    store_.Put("op", "config", configuration);
    for (const auto& node : nodes_) node->Start();
    for (const auto& node : nodes_) {
      const std::string id = "i-" + std::to_string(node->Number());
      servers_.push_back(std::make_unique<Upstream>(*node, id, runs_));
      if (!servers_.back()->Start()) return false;
    }
    for (const auto& node : nodes_) {
      if (!WaitUntil(10, [&] { return IsReady(*node); })) return false;
    }
    std::this_thread::sleep_for(kSettleTime);
    return true;
  }

  Store& TheStore() { return store_; }
  RunLog& Runs() { return runs_; }
  size_t Size() const { return nodes_.size(); }
  /// Machines are numbered from 1.
  Node& NodeAt(size_t n) { return *nodes_[n - 1]; }
  Upstream& ServerAt(size_t n) { return *servers_[n - 1]; }

 private:
  static constexpr int kStoreHost = 250;
  /// Covers the first heartbeats and the start of slow backend servers.
  static constexpr auto kSettleTime = 6s;

  std::string folder_;
  RunLog runs_;
  Store store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Upstream>> servers_;
};

}  // namespace review
