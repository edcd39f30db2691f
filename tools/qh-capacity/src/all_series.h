#pragma once

#include <vector>

#include "measured_series.h"

namespace qh::capacity {

/** Worker table, worker selection, and memory of each service and route. */
std::vector<Series> WorkerSeries();

/** Contract book, and admission of customers with its rate share ledgers. */
std::vector<Series> ContractSeries();

/** Processing steps of a call and the memory that they use. */
std::vector<Series> CallSeries();

/** Sizes, encoding, parsing and application of contract changes, views and VM lists. */
std::vector<Series> ChangeSeries();

/** Member table and gossip messages of a VM. */
std::vector<Series> MembershipSeries();

/** Loans of rate shares between VMs. */
std::vector<Series> LoanSeries();

}  // namespace qh::capacity
