#include "key_service.h"

#include <array>
#include <string_view>
#include <utility>

#include "peer_link.h"

namespace qh::entry {
namespace {

using idempotency::KeyRefusal;

/** The call errors whose stable names idempotency::AnswerTo() returns. */
constexpr std::array<CallErrorCode, 9> kKeyErrorCodes{CallErrorCode::kNotReady,
                                                      CallErrorCode::kKeyMalformed,
                                                      CallErrorCode::kKeyReused,
                                                      CallErrorCode::kKeyTableFull,
                                                      CallErrorCode::kKeyRefused,
                                                      CallErrorCode::kKeyLost,
                                                      CallErrorCode::kOutcomeUnknown,
                                                      CallErrorCode::kKeyInProgress,
                                                      CallErrorCode::kKeyHolderUnreachable};

CallError ToCallError(KeyRefusal refusal) {
  const std::string_view name = idempotency::AnswerTo(refusal).code;
  for (const CallErrorCode code : kKeyErrorCodes) {
    if (name == ToString(code)) {
      return {code, "the key is not started", {}};
    }
  }
  return {CallErrorCode::kOutcomeUnknown, "the key's outcome is not known", {}};
}

idempotency::KeyTableOptions TableOptions(const vm_settings::EntryVmSettings& settings) {
  idempotency::KeyTableOptions options;
  options.validity = std::chrono::floor<std::chrono::seconds>(settings.key_validity);
  options.retention = std::chrono::ceil<std::chrono::seconds>(settings.key_retention);
  options.max_entries = settings.key_capacity;
  options.max_response_bytes = settings.key_max_bytes;
  return options;
}

template <typename Result>
KeyDecision ToDecision(Result result) {
  return std::visit(
      [](auto&& value) -> KeyDecision {
        if constexpr (std::is_same_v<std::decay_t<decltype(value)>, KeyRefusal>) {
          return ToCallError(value);
        } else {
          return std::forward<decltype(value)>(value);
        }
      },
      std::move(result));
}

}  // namespace

KeyService::KeyService(const vm_settings::EntryVmSettings& settings, std::uint64_t incarnation,
                       const auth::MessageAuthenticator& authenticator, RandomGenerator& generator)
    : m_local_holder(MakeKeyHolder(settings.name, incarnation)),
      m_authority(authenticator),
      m_table(m_local_holder, TableOptions(settings), generator) {}

void KeyService::SetPeers(const AddressBook& addresses, PeerLink& peers) {
  m_addresses = &addresses;
  m_peers = &peers;
}

void KeyService::Begin(const CallRequest& call, const std::function<void(KeyDecision)>& callback) {
  if (call.key.empty()) {
    callback(CallError{CallErrorCode::kKeyMissing,
                       "this route is not idempotent in the contract and needs idempotency-key",
                       {}});
    return;
  }
  const Result<idempotency::RequestKey> key = m_authority.Accept(call.key);
  if (!IsOk(key)) {
    callback(CallError{CallErrorCode::kKeyMalformed, ErrorOf(key).detail, {}});
    return;
  }
  if (ValueOf(key).holder.vm != m_local_holder.vm) {
    ResolveAtHolder(ValueOf(key), call, callback);
    return;
  }
  callback(ToDecision(m_table.Begin(ValueOf(key), call.fingerprint, UnixNow())));
}

void KeyService::ResolveAtHolder(const idempotency::RequestKey& key, const CallRequest& call,
                                 const std::function<void(KeyDecision)>& callback) {
  const std::optional<EntryVm> holder = m_addresses->Find(key.holder.vm);
  if (!holder.has_value()) {
    callback(CallError{CallErrorCode::kKeyHolderUnreachable,
                       "the entry VM that holds the key is not known here",
                       {}});
    return;
  }
  m_peers->ResolveKey(*holder, call.key, call.fingerprint,
                      [callback](std::optional<idempotency::ResolveResult> result) {
                        if (result.has_value()) {
                          callback(ToDecision(*std::move(result)));
                        } else {
                          callback(CallError{CallErrorCode::kKeyHolderUnreachable,
                                             "the entry VM that holds the key did not answer",
                                             {}});
                        }
                      });
}

idempotency::ResolveResult KeyService::ResolveForPeer(const std::string& key,
                                                      std::uint64_t fingerprint) {
  const Result<idempotency::RequestKey> accepted = m_authority.Accept(key);
  if (!IsOk(accepted)) {
    return KeyRefusal::kOutcomeUnknown;
  }
  return m_table.ResolveForPeer(ValueOf(accepted), fingerprint, UnixNow());
}

}  // namespace qh::entry
