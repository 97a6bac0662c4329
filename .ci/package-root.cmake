# Toolchain file: takes headers, libraries and package files only from the folder
# that .ci/package-root laid out, which MULBERRYVALVE_PACKAGE_ROOT names.
set(CMAKE_SYSROOT "$ENV{MULBERRYVALVE_PACKAGE_ROOT}")
set(CMAKE_FIND_ROOT_PATH_MODE_PROGRAM ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_LIBRARY ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_INCLUDE ONLY)
set(CMAKE_FIND_ROOT_PATH_MODE_PACKAGE ONLY)
