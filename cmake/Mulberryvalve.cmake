# Helpers that declare one target per small library and one test program beside it.

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(BUILD_TESTING)
  pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
endif()

add_library(mulberryvalve_flags INTERFACE)
target_include_directories(mulberryvalve_flags INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_features(mulberryvalve_flags INTERFACE cxx_std_17)
target_compile_options(mulberryvalve_flags INTERFACE -Wall -Wextra -Wpedantic)
# Scores that tie on one kind of machine must tie on the other: g++ fuses a
# multiplication and an addition on arm64 and not on x86-64 by default.
target_compile_options(mulberryvalve_flags INTERFACE -ffp-contract=off)
if(CMAKE_CXX_COMPILER_ID MATCHES "Clang")
  target_compile_options(mulberryvalve_flags INTERFACE -Wthread-safety)
endif()
target_link_libraries(mulberryvalve_flags INTERFACE Threads::Threads)

# mulberryvalve_library(NAME n SOURCES a.cc ... DEPS other ... [UNITY_BATCH count])
# UNITY_BATCH sources at most share a compilation where CMAKE_UNITY_BUILD is on:
# more are cheaper and need more memory.
function(mulberryvalve_library)
  cmake_parse_arguments(LIB "" "NAME;UNITY_BATCH" "SOURCES;DEPS" ${ARGN})
  if(LIB_SOURCES)
    add_library(${LIB_NAME} STATIC ${LIB_SOURCES})
    target_link_libraries(${LIB_NAME} PUBLIC mulberryvalve_flags ${LIB_DEPS})
    if(LIB_UNITY_BATCH)
      set_target_properties(${LIB_NAME} PROPERTIES
                            UNITY_BUILD_BATCH_SIZE ${LIB_UNITY_BATCH})
    endif()
  else()
    add_library(${LIB_NAME} INTERFACE)
    target_link_libraries(${LIB_NAME} INTERFACE mulberryvalve_flags ${LIB_DEPS})
  endif()
endfunction()

# mulberryvalve_program(NAME n SOURCES a.cc ... DEPS other ...)
function(mulberryvalve_program)
  cmake_parse_arguments(PROG "" "NAME" "SOURCES;DEPS" ${ARGN})
  add_executable(${PROG_NAME} ${PROG_SOURCES})
  target_link_libraries(${PROG_NAME} PRIVATE mulberryvalve_flags ${PROG_DEPS})
endfunction()

# mulberryvalve_test(NAME n SOURCES a_test.cc ... DEPS other ... [ARGS x ...]
#                    [DEFINITIONS macro ...] [TIMEOUT seconds])
# Declares nothing in a build without tests.
function(mulberryvalve_test)
  if(NOT BUILD_TESTING)
    return()
  endif()
  cmake_parse_arguments(T "" "NAME;TIMEOUT" "SOURCES;DEPS;ARGS;DEFINITIONS" ${ARGN})
  add_executable(${T_NAME} ${T_SOURCES})
  target_link_libraries(${T_NAME} PRIVATE mulberryvalve_flags test_main ${T_DEPS})
  target_compile_definitions(${T_NAME} PRIVATE ${T_DEFINITIONS})
  add_test(NAME ${T_NAME} COMMAND ${T_NAME} -v ${T_ARGS})
  if(NOT T_TIMEOUT)
    set(T_TIMEOUT 180)
  endif()
  set_tests_properties(${T_NAME} PROPERTIES TIMEOUT ${T_TIMEOUT})
endfunction()
