#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int
main(int argc, char** argv)
{
  // Leaks are detected by AddressSanitizer; CppUTest's overloads of new and
  // delete would hide them from it.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
