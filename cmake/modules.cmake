add_compile_definitions(BOOST_ASIO_NO_DEPRECATED ELPP_NO_DEFAULT_LOG_FILE ELPP_THREAD_SAFE)
# -Wno-restrict: GCC 12 with -O3 reports overlapping copies inside std::string that can't happen (GCC
# bug 105651).
# -Wno-mismatched-new-delete: GCC 12 reports the frame allocator of asio's awaitable as a mismatched
# pair of new and delete.
set(SNIPESTALL_WARNINGS -Wall -Wextra -Wpedantic -Werror -Wno-error=maybe-uninitialized
  -Wno-mismatched-new-delete -Wno-restrict)

# snipestall_module(NAME LIBS...): adds the library snipestall_NAME from src/snipestall/NAME/*.cpp, and
# the test program NAME_test from its *_test.cpp files.
function(snipestall_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/snipestall/${name}/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  if(NOT sources)
    add_library(snipestall_${name} INTERFACE)
    target_include_directories(snipestall_${name} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_link_libraries(snipestall_${name} INTERFACE ${ARGN})
    return()
  endif()
  add_library(snipestall_${name} STATIC ${sources})
  target_include_directories(snipestall_${name}
    PUBLIC ${CMAKE_SOURCE_DIR}/include
    PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_options(snipestall_${name} PRIVATE ${SNIPESTALL_WARNINGS})
  target_link_libraries(snipestall_${name} PUBLIC ${ARGN})
  if(tests)
    snipestall_test(${name}_test "unit" snipestall_${name} ${tests})
  endif()
endfunction()

# snipestall_test(NAME LABEL LIB SOURCES...): adds a GoogleTest program as a test with this label.
function(snipestall_test name label lib)
  if(SNIPESTALL_GATEWAY_ONLY)
    return()
  endif()
  add_executable(${name} ${ARGN})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_definitions(${name} PRIVATE SNIPESTALL_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_compile_options(${name} PRIVATE ${SNIPESTALL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${lib} GTest::gmock GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES LABELS ${label} TIMEOUT 300)
endfunction()

# snipestall_program(NAME SOURCES sources... LIBS libraries...): adds the program bin/NAME.
function(snipestall_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${SNIPESTALL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${arg_LIBS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
