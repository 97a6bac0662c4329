#include "CppUTest/CommandLineTestRunner.h"
#include "CppUTest/MemoryLeakDetector.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"

// Runs every test of the program. The leak overloads of operator new are not
// thread safe and are left to the address sanitizer. What was noted before main
// is forgotten with them, since nobody would take it back when it is freed.
int main(int aArgc, char** aArgv)
{
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
    mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
