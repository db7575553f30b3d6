// FlatBuffers encoding of crash notices.
#include "carawayway/gateway/crash_notice_codec.hpp"

#include "carawayway/wire/relay_generated.h"

#include <algorithm>

namespace carawayway::gateway {

namespace schema = carawayway::wire::relay;

namespace {

// Gateways of older builds do not send all lists.
template <class Vector>
std::uint64_t element_or_zero(const Vector* list, std::uint32_t index) {
    return list == nullptr || index >= list->size() ? 0 : list->Get(index);
}

} // namespace

std::string encode_crash_notice(std::span<const steering::crash_count> counts) {
    std::vector<schema::CrashCount> items;
    items.reserve(counts.size());
    std::transform(counts.begin(), counts.end(), std::back_inserter(items),
                   [](const steering::crash_count& count) {
                       return schema::CrashCount(count.fingerprint, count.losses);
                   });
    std::vector<std::uint64_t> answered;
    std::vector<std::uint8_t> released;
    std::vector<std::uint64_t> answered_since;
    for (const auto& count : counts) {
        answered.push_back(count.answered);
        released.push_back(count.is_released ? 1U : 0U);
        answered_since.push_back(count.answered_since);
    }
    flatbuffers::FlatBufferBuilder builder;
    const auto notice =
        schema::CreateCrashNoticeDirect(builder, &items, &answered, &released, &answered_since);
    builder.Finish(schema::CreateMessage(builder, schema::Body::CrashNotice, notice.Union()));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<std::vector<steering::crash_count>> decode_crash_notice(std::span<const std::byte> payload) {
    const auto* const bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    if (!schema::VerifyMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const auto* const notice = schema::GetMessage(bytes)->body_as_CrashNotice();
    if (notice == nullptr) {
        return std::nullopt;
    }
    std::vector<steering::crash_count> counts;
    for (const auto* const item : *notice->counts()) {
        counts.push_back({item->fingerprint(), item->losses()});
    }
    const auto* const answered = notice->answered();
    const auto* const released = notice->released();
    const auto* const answered_since = notice->answered_since();
    for (std::uint32_t index = 0; index < counts.size(); ++index) {
        counts[index].answered = element_or_zero(answered, index);
        counts[index].is_released = element_or_zero(released, index) != 0;
        counts[index].answered_since = element_or_zero(answered_since, index);
    }
    return counts;
}

} // namespace carawayway::gateway
