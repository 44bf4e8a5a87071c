#include "acaciapulley/core/random.hpp"

#include <random>    // mt19937_64, uniform_real_distribution
#include <stdexcept> // runtime_error
#include <vector>    // vector

#include <openssl/evp.h>  // EVP_Digest
#include <openssl/rand.h> // RAND_bytes

namespace acp {

std::string ToHex(const std::string& bytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0x0FU];
  }
  return text;
}

std::string RandomHex(std::size_t bytes)
{
  std::vector<unsigned char> buffer(bytes);
  if (RAND_bytes(buffer.data(), static_cast<int>(bytes)) != 1) {
    throw std::runtime_error("no random bytes from the operating system");
  }
  return ToHex(std::string(buffer.begin(), buffer.end()));
}

double UniformRandom()
{
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

Duration Jittered(Duration base, double fraction)
{
  const double factor = 1.0 - fraction + 2.0 * fraction * UniformRandom();
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) * factor));
}

std::string Sha256(const std::string& text)
{
  std::string digest(32, '\0');
  unsigned int length = 0;
  EVP_Digest(text.data(),
             text.size(),
             reinterpret_cast<unsigned char*>(digest.data()),
             &length,
             EVP_sha256(),
             nullptr);
  return digest;
}

} // namespace acp
