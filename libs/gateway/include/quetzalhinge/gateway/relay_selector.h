#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/** A VM that may pass on what it has read from the store. */
struct RelayPeer {
  std::string vm;
  IpEndpoint endpoint;
};

/** Where the next reading of the store's rows comes from. */
struct RelayChoice {
  enum class Source {
    /** The store itself. */
    kStore,
    /** `peer`. */
    kPeer,
    /** Nobody for now: all VMs that may read have failed a moment ago, or enough others try. */
    kNone,
  };
  Source source = Source::kStore;
  RelayPeer peer;
};

/** Times of a RelaySelector. */
struct RelaySelectorOptions {
  /** How long a peer is left out that had nothing fresh. */
  std::chrono::milliseconds stale_exclusion_time{1000};
  /** How long a peer is left out that did not answer. */
  std::chrono::milliseconds no_response_exclusion_time{2000};
  /**
   * The first so many VMs of a zone read the store themselves when those before them cannot. The
   * store may refuse a third of the VMs while it serves the others: with 8, all of them are refused
   * once in some thousand times.
   */
  std::size_t max_readers_in_outage = 8;
};

/**
 * Chooses which VMs of a zone read the store, and from whom the others hear. All VMs of a zone rank
 * each other in the same order; the first one reads the store, the others ask the first one that
 * answers. No agreement is needed: where views differ for a moment, more than one VM reads.
 */
class RelaySelector {
 public:
  explicit RelaySelector(std::string own_vm, const RelaySelectorOptions& options = {});

  /** Sets the other live VMs of the zone. */
  void SetPeers(const std::vector<RelayPeer>& peers);

  /** Returns where to read now. */
  RelayChoice Choose(TimePoint now) const;

  /** The peer's copy is not fresh; for this VM: the store did not answer. */
  void OnStale(const std::string& vm, TimePoint now);

  /** The peer does not read the store, but hears from another VM. */
  void OnNotReader(const std::string& vm, TimePoint now);

  /** Returns whether `vm` is not to be asked now. */
  bool IsExcluded(const std::string& vm, TimePoint now) const;

  /** The peer did not answer. */
  void OnNoResponse(const std::string& vm, TimePoint now);

  /** The peer answered well; for this VM: the store did. */
  void OnSuccess(const std::string& vm);

 private:
  struct Exclusion {
    TimePoint until;
    bool stale = false;
  };

  std::string m_own_vm;
  RelaySelectorOptions m_options;
  /** Best rank first, this VM among them. */
  std::vector<RelayPeer> m_ranked;
  std::map<std::string, Exclusion> m_exclusions;
};

}  // namespace qh::gateway
