#define DOCTEST_CONFIG_IMPLEMENT
#include "libcore/log.h"
#include <doctest/doctest.h>

int main(int Argc, char **Argv) {
  amaranthward::configureLogging({"off", false});
  return doctest::Context(Argc, Argv).run();
}
