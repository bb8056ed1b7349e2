#pragma once
/// \file
/// Many connections on which a test sends without regard for the answers.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"

namespace buckthorncart {

/// What each connection of a crowd sends.
struct CrowdTraffic {
  std::string head;
  /// Sent `repeats` times after the head.
  std::string piece;
  size_t repeats = 0;
};

/// Connections that stay open until the crowd is destroyed. They send in turns
/// and never read.
class ClientCrowd {
 public:
  ClientCrowd(Address to, int connections);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /// Sends until each connection has sent everything or is closed, or until
  /// none has made progress for `kQuietTime`.
  void Send(const CrowdTraffic& traffic);
  /// Returns the number of bytes that all connections have sent.
  uint64_t SentBytes() const { return sent_bytes_; }

 private:
  static constexpr Duration kQuietTime = 1500ms;

  struct Client {
    int fd = -1;
    size_t offset = 0;
    bool finished = false;
  };

  /// Sends what the system accepts, up to one turn. Returns true if any byte
  /// was sent.
  bool SendTurn(Client& client, const CrowdTraffic& traffic);

  std::vector<Client> clients_;
  uint64_t sent_bytes_ = 0;
};

/// Number of open descriptors of a process; 0 if it has ended.
size_t OpenDescriptors(int pid);

/// Bytes that connections to `local` have received and that no process has read
/// yet.
uint64_t UnreadBytes(Address local);

}  // namespace buckthorncart
