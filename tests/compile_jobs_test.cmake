# A machine with many processors and little memory must not start one compilation
# for each processor: the kernel would end a compiler.
include(${CMAKE_CURRENT_LIST_DIR}/../cmake/CompileJobs.cmake)

function(expect_jobs EXPECTED PROCESSORS FREE_MEBIBYTES)
  mulberryvalve_compile_jobs(jobs ${PROCESSORS} ${FREE_MEBIBYTES})
  if(NOT jobs EQUAL EXPECTED)
    message(FATAL_ERROR "${PROCESSORS} processors and ${FREE_MEBIBYTES} MiB:"
                        " ${jobs} jobs, not ${EXPECTED}")
  endif()
endfunction()

expect_jobs(8 8 64000)
expect_jobs(16 64 16000)
expect_jobs(2 8 2999)
expect_jobs(1 8 400)
expect_jobs(1 1 64000)
expect_jobs(1 0 0)
