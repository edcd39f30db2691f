# All libraries come from Debian 12 packages, which scripts/packages.sh installs.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS log)

find_package(nlohmann_json REQUIRED)
find_package(Catch2 2 REQUIRED)
find_package(rapidcheck REQUIRED)
# pkg-config is used because the CMake files of the capnproto package look for libatomic in a folder
# where Debian does not install it.
pkg_check_modules(CAPNP_RPC REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(LIBUV REQUIRED IMPORTED_TARGET libuv)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(INIH REQUIRED IMPORTED_TARGET inih)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)

# libh2o is the variant built for libuv. It has no pkg-config file that lists its dependencies.
add_library(qh_h2o INTERFACE)
target_link_libraries(qh_h2o INTERFACE h2o PkgConfig::LIBUV OpenSSL::SSL OpenSSL::Crypto
                                       ZLIB::ZLIB Threads::Threads)
