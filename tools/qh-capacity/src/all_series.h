#pragma once

#include <vector>

#include "measured_series.h"

namespace qh::capacity {

/** Worker table, selection and what a service adds. */
std::vector<Series> WorkerSeries();

/** Contract book, admission and ledger. */
std::vector<Series> ContractSeries();

/** The steps of one call, and what each leaves in memory. */
std::vector<Series> CallSeries();

/** Encoding, decoding and applying configuration changes and views. */
std::vector<Series> ChangeSeries();

/** Member table and gossip messages. */
std::vector<Series> MembershipSeries();

/** Rate loans between VMs. */
std::vector<Series> LoanSeries();

}  // namespace qh::capacity
