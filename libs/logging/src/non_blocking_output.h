#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <string>

namespace qh::logging {

/**
 * Writes formatted lines to standard output without waiting for its reader. Bytes that the reader
 * has not taken are kept up to a bound; beyond it whole lines are dropped and counted.
 */
class NonBlockingOutput
    : public boost::log::sinks::basic_formatted_sink_backend<
          char,
          boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding>::type> {
 public:
  NonBlockingOutput();

  /** Called by the log for each line. */
  void consume(const boost::log::record_view& record, const string_type& line);

 private:
  void WriteKept();

  std::string m_kept;
  unsigned long m_dropped = 0;
};

}  // namespace qh::logging
