#define DOCTEST_CONFIG_IMPLEMENT
#include "libcore/log.h"

#include <doctest/doctest.h>

int main(int Count, char **Arguments) {
  // Thousands of expected warnings of the randomized run would hide failures.
  amaranthward::configureLogging({.Level = "off"});
  doctest::Context Tests(Count, Arguments);
  return Tests.run();
}
