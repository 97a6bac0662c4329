// A planted fault: an argument beyond the range of an integer has no defined
// conversion, and gives another one on x86-64 than on arm64.
#include <cstdio>
#include <cstdlib>

int main(int aArgc, char** aArgv)
{
  const double number = aArgc > 1 ? std::strtod(aArgv[1], nullptr) : 0;
  std::printf("%lld\n", static_cast<long long>(number));
  return 0;
}
