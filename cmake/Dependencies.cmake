find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(CLI11 REQUIRED)
find_package(Boost REQUIRED COMPONENTS log log_setup)
find_package(PkgConfig REQUIRED)
find_package(prometheus-cpp REQUIRED)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(criterion REQUIRED IMPORTED_TARGET criterion)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
# The packaged cpp-httplib is compiled with OpenSSL and compression. Its classes differ in size without the
# same definitions, which only its pkg-config file lists.
pkg_check_modules(httplib REQUIRED IMPORTED_TARGET cpp-httplib)

add_library(briarspar_test_deps INTERFACE)
target_link_libraries(briarspar_test_deps INTERFACE PkgConfig::criterion ${RAPIDCHECK_LIBRARY})
