add_library(qh_compile_options INTERFACE)
target_compile_options(qh_compile_options INTERFACE -Wall -Wextra -Wshadow)
if(QH_SANITIZE)
  target_compile_options(qh_compile_options INTERFACE -fsanitize=address,undefined
                                                      -fno-sanitize-recover=undefined
                                                      -fno-omit-frame-pointer)
  target_link_options(qh_compile_options INTERFACE -fsanitize=address,undefined)
endif()

# qh_library(<module> SOURCES <file>... DEPENDS <target>...)
# Declares the static library qh_<module> in the current folder. Public headers are in include/,
# private ones in src/.
function(qh_library module)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(qh_${module} STATIC ${ARG_SOURCES})
  target_include_directories(qh_${module} PUBLIC include PRIVATE src)
  target_link_libraries(qh_${module} PUBLIC qh_compile_options ${ARG_DEPENDS})
endfunction()

# qh_program(<name> SOURCES <file>... DEPENDS <target>...)
# Declares an executable.
function(qh_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE qh_compile_options ${ARG_DEPENDS})
endfunction()

# qh_test(<name> SOURCES <file>... DEPENDS <target>... [TIMEOUT <seconds>] [SERIAL])
# Declares a Catch2 program that is one ctest test. The default time-out is 120 s. A SERIAL test
# does not run in parallel with other tests. The seeds of Catch2 and RapidCheck are fixed, so that
# the test results are reproducible.
function(qh_test name)
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE qh_test_main qh_compile_options ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND ${name} --rng-seed 20261204)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} ENVIRONMENT
                                                      "RC_PARAMS=seed=20261204")
  if(ARG_SERIAL)
    set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
  endif()
endfunction()

# qh_crowd_test(<name> SOURCES <file>... DEPENDS <target>... CASES <tag>...)
# Declares a Catch2 program and one ctest test, <name>_<tag>, for the test cases of each tag. These
# tests run alone, because other load would change what a process holds at a time.
function(qh_crowd_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;CASES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE qh_test_main qh_compile_options ${ARG_DEPENDS})
  foreach(case IN LISTS ARG_CASES)
    add_test(NAME ${name}_${case} COMMAND ${name} "[${case}]" --rng-seed 20261204)
    set_tests_properties(${name}_${case} PROPERTIES TIMEOUT 300 RUN_SERIAL TRUE)
  endforeach()
endfunction()
