#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <string>

namespace qh::logging {

/**
 * Boost.Log sink that writes formatted lines to standard output without blocking. Bytes that cannot
 * be written yet are buffered up to a limit; lines that exceed it are dropped and counted.
 */
class NonBlockingOutput
    : public boost::log::sinks::basic_formatted_sink_backend<
          char,
          boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding>::type> {
 public:
  NonBlockingOutput();

  /** Called by Boost.Log for each formatted line. */
  void consume(const boost::log::record_view& record, const string_type& line);

 private:
  void FlushBuffer();

  std::string m_buffer;
  unsigned long m_dropped_lines = 0;
};

}  // namespace qh::logging
