#include "auth/Credentials.h"
#include "auth/KeyDigest.h"
#include "auth/KeyGenerator.h"
#include "auth/KeyVerifier.h"
#include "config/ConfigStore.h"
#include "core/testing/Property.h"

#include <map>
#include <set>

using namespace briarspar;
using namespace briarspar::auth;
using core::testing::checkProperty;

namespace {

using HeaderList = std::vector<std::pair<std::string, std::string>>;
const std::string Key = "bsk_0123456789abcdefghij";

/// A deterministic source that counts upwards. After 256 bytes the order changes, so that the first
/// 16 keys all differ.
class CountingSource final : public RandomSource {
public:
  absl::Status fill(absl::Span<uint8_t> bytes) override {
    for (uint8_t &it : bytes) {
      it = static_cast<uint8_t>(Next ^ (Next >> 8));
      ++Next;
    }
    return Fail ? absl::UnavailableError("no entropy") : absl::OkStatus();
  }
  bool Fail = false;

private:
  uint16_t Next = 0;
};

config::Outcome apply(config::ConfigStore &store, config::Change what) {
  std::string id = "c" + std::to_string(store.version().Value);
  return store.apply({id, "ops", {}, std::move(what)});
}

std::string strippedTarget(std::string target) {
  cr_assert(stripRequestTarget(target, {Key}).ok());
  return target;
}

} // namespace

/// Stored digests stop matching if the digest is not SHA-256.
Test(Auth, digestIsSha256) {
  cr_assert_eq(toHex(digestOfKey("abc")),
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  checkProperty("one changed byte gives another digest", [](std::string key) {
    config::KeyDigest digest = digestOfKey(key);
    RC_ASSERT(matches(digest, key));
    RC_ASSERT_FALSE(matches(digest, key + "x"));
    config::KeyDigest other = digest;
    other[*rc::gen::inRange(0, 32)] ^= 1;
    RC_ASSERT_FALSE(equalInConstantTime(digest, other));
  });
}

/// Guards against repeated keys, keys with too few random bits and keys from a failed source.
Test(Auth, generatedKeyContainsSourceBytes) {
  CountingSource source;
  absl::StatusOr<GeneratedKey> first = generateKey(source);
  absl::StatusOr<GeneratedKey> second = generateKey(source);
  cr_assert_eq(first->Key, "bsk_AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8");
  cr_assert_neq(first->Key, second->Key);
  cr_assert(matches(first->Digest, first->Key));
  source.Fail = true;
  cr_assert(absl::IsUnavailable(generateKey(source).status()));
  OpenSslRandomSource openSsl;
  cr_assert_neq(generateKey(openSsl)->Key, generateKey(openSsl)->Key);
}

/// Guards against a key that is still accepted after its withdrawal or for another customer.
Test(Auth, withdrawnKeyIsNoLongerVerified) {
  checkProperty("exactly the stored keys verify", [] {
    config::ConfigStore store;
    CountingSource source;
    std::map<std::string, std::string> owners;
    std::map<std::string, std::string> keys;
    std::set<std::string> withdrawn;
    for (const char *customer : {"a", "b"})
      apply(store, config::CreateCustomer{core::CustomerId(customer), 1, 1, 1});
    int steps = *rc::gen::inRange(1, 12);
    for (int n = 0; n < steps; ++n) {
      if (!keys.empty() && *rc::gen::inRange(0, 3) == 0) {
        auto it = keys.begin();
        RC_ASSERT(apply(store, config::WithdrawKey{core::KeyId(it->first)}).Status ==
                  config::Outcome::Accepted);
        withdrawn.insert(it->second);
        owners.erase(it->second);
        keys.erase(it);
      } else {
        std::string customer = *rc::gen::element<std::string>("a", "b");
        GeneratedKey key = *generateKey(source);
        config::CreateKey create{core::CustomerId(customer), key.Digest};
        keys[apply(store, create).Subject] = key.Key;
        owners[key.Key] = customer;
      }
    }
    KeyVerifier verifier(store.records());
    RC_ASSERT(verifier.size() == owners.size());
    for (const auto &[key, customer] : owners)
      RC_ASSERT(verifier.verify(key) == core::CustomerId(customer));
    for (const std::string &key : withdrawn)
      RC_ASSERT_FALSE(verifier.verify(key).has_value());
    RC_ASSERT_FALSE(verifier.verify("").has_value());
  });
}

/// Guards against a match on the indexed prefix of the digest alone.
Test(Auth, digestPrefixAloneIsNotVerified) {
  config::Records records;
  config::KeyRecord key{core::KeyId("k1"), core::CustomerId("a"), digestOfKey(Key), {}};
  records.Customers[core::CustomerId("a")].Id = core::CustomerId("a");
  key.Digest[31] ^= 1;
  records.Keys[key.Id] = key;
  cr_assert_not(KeyVerifier(records).verify(Key).has_value());
}

/// Guards against a request that is attributed to the wrong customer.
Test(Auth, presentedKeyIsUnambiguous) {
  cr_assert_eq(*presentedKey(HeaderList{{"AUTHORIZATION", "bearer  k1 "}}), "k1");
  cr_assert_eq(*presentedKey(HeaderList{{"x-api-key", "k1"}, {"Authorization", "Bearer k1"}}),
               "k1");
  cr_assert(absl::IsNotFound(presentedKey(HeaderList{{"Authorization", "Basic k1"}}).status()));
  cr_assert(absl::IsNotFound(presentedKey(HeaderList{{"Authorization", "Bearerk1"}}).status()));
  cr_assert(absl::IsInvalidArgument(
      presentedKey(HeaderList{{"X-Api-Key", "k1"}, {"Authorization", "Bearer k2"}}).status()));
}

/// Guards against a caller's key that reaches a target in the headers, the query or the trailers.
Test(Auth, keyIsRemovedFromWholeRequest) {
  const std::vector<std::string> names{"Authorization", "X-Api-Key", "Proxy-Authorization"};
  const std::vector<std::string> values{"Bearer " + Key, "bearer\t" + Key, Key,
                                        "Basic YnNrXzAxMjM="};
  auto anyCase = [](std::string name) {
    for (char &c : name) {
      if (*rc::gen::arbitrary<bool>())
        c = static_cast<char>(std::toupper(c));
      if (c == '-' && *rc::gen::arbitrary<bool>())
        c = '_';
    }
    return name;
  };
  checkProperty("the key is removed and the rest is kept", [&] {
    auto someHeaders = [&] {
      HeaderList headers{{"Host", "example.org"}, {"Accept", "*/*"}};
      int count = *rc::gen::inRange(0, 3);
      for (int n = 0; n < count; ++n)
        headers.insert(headers.begin() + *rc::gen::inRange(0, 2),
                       {anyCase(*rc::gen::elementOf(names)), *rc::gen::elementOf(values)});
      return headers;
    };
    HeaderList headers = someHeaders();
    headers.emplace_back("X-Api-Key", Key);
    headers.emplace_back("Cookie", "session=1; key=" + Key);
    HeaderList trailers = someHeaders();
    std::string target = "/path?a=1&" + anyCase("api_key") + "=" + Key + "&b=" + Key + "&c=2";
    RC_ASSERT(stripCredentials(headers, target, trailers).ok());
    for (const HeaderList &it : {headers, trailers})
      RC_ASSERT((it == HeaderList{{"Host", "example.org"}, {"Accept", "*/*"}}));
    RC_ASSERT(target == "/path?a=1&c=2");
  });
}

/// Guards against a key that passes in an encoded parameter name or value.
Test(Auth, queryIsStrippedInEveryEncoding) {
  for (const char *name : {"api_key", "API_KEY", "api-key", "api%5Fkey", "%61pi_key"})
    cr_assert_eq(strippedTarget(std::string("/p?") + name + "=secret"), "/p", "%s", name);
  cr_assert_eq(strippedTarget("/p?api_key"), "/p");
  cr_assert_eq(strippedTarget("/p?x=1;api_key=s;y=2"), "/p?x=1&y=2");
  cr_assert_eq(strippedTarget("/p?x=%62sk_0123456789abcdefghij"), "/p");
  cr_assert_eq(strippedTarget("/p?api_keys=1&x=%zz"), "/p?api_keys=1&x=%zz");
  cr_assert_eq(strippedTarget("/p?"), "/p?");
  std::string path = "/p/" + Key;
  cr_assert(absl::IsInvalidArgument(stripRequestTarget(path, {Key})));
}

/// Guards against a crash on arbitrary bytes in a request target.
Test(Auth, arbitraryRequestTargetIsStripped) {
  checkProperty("no api_key parameter remains", [](std::string target, std::string name) {
    target += "?" + name + "&api_key=1";
    RC_ASSERT(stripRequestTarget(target, {Key}).ok());
    RC_ASSERT(target.find("&api_key=1") == std::string::npos);
  });
}
