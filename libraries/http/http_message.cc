#include "http/http_message.h"

#include <strings.h>

namespace daisyarch {

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

}  // namespace daisyarch
