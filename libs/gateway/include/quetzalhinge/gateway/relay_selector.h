#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "quetzalhinge/base/ip_endpoint.h"
#include "quetzalhinge/base/time.h"

namespace qh::gateway {

/** Another VM that may relay rows of the store. */
struct RelayPeer {
  std::string vm;
  IpEndpoint endpoint;
};

/** The source of the next read of the store's rows. */
struct RelayChoice {
  enum class Source {
    /** The store, directly. */
    kStore,
    /** The VM `peer`. */
    kPeer,
    /**
     * No source at the moment: all VMs of the zone are excluded, or enough VMs that rank before
     * this one are already trying to read the store.
     */
    kNone,
  };
  Source source = Source::kStore;
  RelayPeer peer;
};

/** Time-outs and limits of a RelaySelector. */
struct RelaySelectorOptions {
  /** How long a peer without fresh rows is excluded. */
  std::chrono::milliseconds stale_exclusion_time{1000};
  /** How long a peer that did not respond is excluded. */
  std::chrono::milliseconds no_response_exclusion_time{2000};
  /**
   * Maximum number of VMs of a zone that try to read the store during an outage, in order of rank.
   * The store may refuse a third of the VMs while it serves the others; with 8 readers,
   * all of them are refused only about once in several thousand cases.
   */
  std::size_t max_readers_in_outage = 8;
};

/**
 * Selects the VMs of a zone that read the store, and the VM from which each of the others reads.
 * All VMs of a zone rank each other in the same order: the first one reads the store, the others
 * read from the first one that responds. This needs no consensus; if the membership views of VMs
 * differ for a while, more than one VM reads the store.
 */
class RelaySelector {
 public:
  explicit RelaySelector(std::string own_vm, const RelaySelectorOptions& options = {});

  /** Sets the other live VMs of the zone. */
  void SetPeers(const std::vector<RelayPeer>& peers);

  /** Returns the source to read from now. */
  RelayChoice Choose(TimePoint now) const;

  /** Records that the rows of `vm` are not fresh; for this VM: that the store did not respond. */
  void OnStale(const std::string& vm, TimePoint now);

  /** Records that `vm` does not read the store itself, but reads from another VM. */
  void OnNotReader(const std::string& vm, TimePoint now);

  /** Returns whether `vm` is currently excluded as a source. */
  bool IsExcluded(const std::string& vm, TimePoint now) const;

  /** Records that `vm` did not respond. */
  void OnNoResponse(const std::string& vm, TimePoint now);

  /** Records a successful response of `vm`; for this VM: of the store. */
  void OnSuccess(const std::string& vm);

 private:
  struct Exclusion {
    TimePoint until;
    bool stale = false;
  };

  std::string m_own_vm;
  RelaySelectorOptions m_options;
  /** All VMs of the zone including this one, best rank first. */
  std::vector<RelayPeer> m_ranked;
  std::map<std::string, Exclusion> m_exclusions;
};

}  // namespace qh::gateway
