#include "DocumentFile.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace vanillascale {

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  if (!in) {
    std::cerr << aPath << ": can't be read\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void
PrintFaults(const std::string& aFile, const std::vector<DocumentFault>& aFaults)
{
  for (const DocumentFault& it : aFaults) {
    std::cerr << aFile << ": " << it.mPointer << " " << it.mProblem << "\n";
  }
}

} // namespace vanillascale
