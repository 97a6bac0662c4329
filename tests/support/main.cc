#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakDetector.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

// Runs all tests of the program. The leak-detecting overloads of operator new
// are not thread-safe, so they are off; the address sanitizer finds leaks
// instead. Allocations recorded before main are cleared, since their release
// would go unrecorded.
int main(int aArgc, char** aArgv)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
    mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
