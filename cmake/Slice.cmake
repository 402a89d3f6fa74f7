# briarspar_slice(NAME [LINK targets...] [TEST_LINK targets...]) builds src/NAME/*.cpp as the static library
# briarspar_NAME and src/NAME/tests/*.cpp as the Criterion program NAME_tests, which it registers with CTest.
# TEST_LINK names libraries that only the tests use.
function(briarspar_slice name)
  cmake_parse_arguments(arg "" "" "LINK;TEST_LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cpp)
  set(library briarspar_${name})
  set(scope PUBLIC)
  if(sources)
    add_library(${library} STATIC ${sources})
  else()
    add_library(${library} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(briarspar::${name} ALIAS ${library})
  set_target_properties(${library} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(${library} ${scope}
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src> $<INSTALL_INTERFACE:include/briarspar>)
  target_link_libraries(${library} ${scope} ${arg_LINK})
  install(TARGETS ${library} EXPORT briarsparTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/${name} DESTINATION include/briarspar
          FILES_MATCHING PATTERN "*.h" PATTERN "tests" EXCLUDE)

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/tests/*.cpp)
  if(tests AND NOT BRIARSPAR_DAEMON_ONLY)
    add_executable(${name}_tests ${tests})
    target_link_libraries(${name}_tests PRIVATE ${library} ${arg_TEST_LINK} briarspar_test_deps)
    add_test(NAME ${name} COMMAND ${name}_tests --jobs 2)
    # With a fixed seed every run gives the same result; tools/long-properties.sh uses other seeds.
    set_tests_properties(${name} PROPERTIES
      ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100" TIMEOUT 600)
  endif()
endfunction()
