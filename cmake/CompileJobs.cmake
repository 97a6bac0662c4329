# Bounds the compilations and links that run at once by the processors and by the
# memory, since ninja looks at the processors only.

set(MULBERRYVALVE_MEBIBYTES_PER_JOB 1000)

# Sets ${OUT} to how many jobs a machine bears; at least one.
function(mulberryvalve_compile_jobs OUT PROCESSORS FREE_MEBIBYTES)
  math(EXPR jobs "${FREE_MEBIBYTES} / ${MULBERRYVALVE_MEBIBYTES_PER_JOB}")
  if(jobs GREATER PROCESSORS)
    set(jobs ${PROCESSORS})
  endif()
  if(jobs LESS 1)
    set(jobs 1)
  endif()
  set(${OUT} ${jobs} PARENT_SCOPE)
endfunction()

# Makes all compilations and links share a pool of that many jobs.
macro(mulberryvalve_bound_compile_jobs)
  cmake_host_system_information(RESULT processors QUERY NUMBER_OF_LOGICAL_CORES)
  cmake_host_system_information(RESULT free_mebibytes QUERY AVAILABLE_PHYSICAL_MEMORY)
  mulberryvalve_compile_jobs(jobs ${processors} ${free_mebibytes})
  set_property(GLOBAL PROPERTY JOB_POOLS compile_jobs=${jobs})
  set(CMAKE_JOB_POOL_COMPILE compile_jobs)
  set(CMAKE_JOB_POOL_LINK compile_jobs)
  message(STATUS "At most ${jobs} compilations and links at once")
endmacro()
