#!/usr/bin/env python3
"""Plants each fault that .ci/deployed-build must find in a small project.

Guards against a deployed build that CI can't see fail: a package that the deploy
file doesn't list, a test that the build needs, a compilation or a build that
costs too much, a warning, a file outside target/.
"""
import os
import subprocess
import tempfile
import unittest

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CHECK = os.path.join(REPOSITORY, ".ci/deployed-build")

PACKAGES = ["g++", "cmake", "ninja-build"]
BUILD = (
    "cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release"
    " && ninja -C target mulberryvalve-entry"
)
SOUND_PROGRAM = """#include <string>
int main(int argc, char** argv)
{
  return argc == 2 && argv[1] == std::string("--help") ? 0 : 2;
}
"""
SOUND_PROJECT = """cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
set(CMAKE_CXX_FLAGS -Wall)
include(cmake/CompileJobs.cmake)
mulberryvalve_bound_compile_jobs()
add_subdirectory(platform)
"""
PLATFORM = "add_executable(mulberryvalve-entry entry_main.cc)\n"
MANY_NUMBERS = 4_000_000  # g++ needs over 500 MB for an array of these


class DeployedBuildTest(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = scratch.name
        self.write("deploy/system.toml", self.deploy_file(PACKAGES))
        self.write("CMakeLists.txt", SOUND_PROJECT)
        self.write("platform/CMakeLists.txt", PLATFORM)
        self.write("platform/entry_main.cc", SOUND_PROGRAM)
        with open(os.path.join(REPOSITORY, "cmake/CompileJobs.cmake")) as file:
            self.write("cmake/CompileJobs.cmake", file.read())

    @staticmethod
    def deploy_file(packages):
        names = ", ".join(f'"{name}"' for name in packages)
        return f'build = "{BUILD}"\npackages = [{names}]\n'

    def write(self, path, text):
        target = os.path.join(self.folder, path)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        with open(target, "w", encoding="utf-8") as file:
            file.write(text)

    def check(self, *arguments):
        """Returns the exit code and the output of the check."""
        for command in (["init", "-q"], ["add", "-A"]):
            subprocess.run(["git", *command], cwd=self.folder, check=True)
        run = subprocess.run(
            [CHECK, *arguments], cwd=self.folder, capture_output=True, text=True
        )
        return run.returncode, run.stdout + run.stderr

    def expect_fault(self, words, *arguments):
        code, output = self.check(*arguments)
        self.assertEqual(code, 1, output)
        self.assertIn(words, output)

    def test_sound_project_passes_and_is_taken(self):
        code, output = self.check("--take", self.folder)
        self.assertEqual(code, 0, output)
        program = os.path.join(self.folder, "target/platform/mulberryvalve-entry")
        self.assertEqual(subprocess.run([program, "--help"]).returncode, 0)

    def test_header_of_a_package_that_is_not_listed(self):
        self.write("platform/entry_main.cc", "#include <popt.h>\n" + SOUND_PROGRAM)
        self.expect_fault("popt.h")
        self.write("deploy/system.toml", self.deploy_file(PACKAGES + ["libpopt-dev"]))
        code, output = self.check()
        self.assertEqual(code, 0, output)

    def test_library_of_a_package_that_is_not_listed(self):
        self.write(
            "platform/CMakeLists.txt",
            PLATFORM + "target_link_libraries(mulberryvalve-entry popt)\n",
        )
        self.expect_fault("popt")

    def test_tool_of_a_package_that_is_not_listed(self):
        self.write(
            "platform/CMakeLists.txt",
            "find_program(PYTHON python3 REQUIRED)\n" + PLATFORM,
        )
        self.expect_fault("PYTHON")

    def test_folder_of_tests_in_the_graph(self):
        self.write("tests/CMakeLists.txt", "")
        self.write("CMakeLists.txt", SOUND_PROJECT + "add_subdirectory(tests)\n")
        self.expect_fault('"tests" which is not an existing directory')

    def test_test_source_in_the_graph(self):
        self.write("platform/sample_test.cc", SOUND_PROGRAM)
        self.write(
            "platform/CMakeLists.txt",
            PLATFORM + "add_executable(sample_test sample_test.cc)\n",
        )
        self.expect_fault("sample_test.cc")

    def test_compilation_over_the_memory_budget(self):
        numbers = ",".join(["1"] * MANY_NUMBERS)
        self.write(
            "platform/entry_main.cc",
            SOUND_PROGRAM + "int numbers[] = {" + numbers + "};\n",
        )
        self.expect_fault("MB, over 500 MB")

    def test_build_over_the_time_budget(self):
        self.expect_fault("of processor time, over 0.01 s", "--max-seconds", "0.01")

    def test_warning(self):
        self.write(
            "platform/entry_main.cc", SOUND_PROGRAM + "static int unused() { return 1; }\n"
        )
        self.expect_fault("warning:")

    def test_file_outside_target(self):
        self.write(
            "platform/CMakeLists.txt",
            PLATFORM + 'file(WRITE "${CMAKE_SOURCE_DIR}/stray.txt" "x")\n',
        )
        self.expect_fault("stray.txt lies outside target/")

    def test_compilations_in_no_pool(self):
        self.write(
            "CMakeLists.txt",
            SOUND_PROJECT.replace("mulberryvalve_bound_compile_jobs()\n", ""),
        )
        self.expect_fault("1 compilations in no pool")

    def test_program_that_does_not_start(self):
        self.write("platform/entry_main.cc", "int main() { return 3; }\n")
        self.expect_fault("--help: exit code 3")


if __name__ == "__main__":
    unittest.main()
