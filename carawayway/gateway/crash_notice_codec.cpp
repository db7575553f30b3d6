// FlatBuffers encoding of crash notices.
#include "carawayway/gateway/crash_notice_codec.hpp"

#include "carawayway/wire/relay_generated.h"

#include <algorithm>

namespace carawayway::gateway {

namespace schema = carawayway::wire::relay;

std::string encode_crash_notice(std::span<const steering::crash_count> counts) {
    std::vector<schema::CrashCount> items;
    items.reserve(counts.size());
    std::transform(counts.begin(), counts.end(), std::back_inserter(items),
                   [](const steering::crash_count& count) {
                       return schema::CrashCount(count.fingerprint, count.losses);
                   });
    std::vector<std::uint64_t> answered;
    answered.reserve(counts.size());
    std::transform(counts.begin(), counts.end(), std::back_inserter(answered),
                   [](const steering::crash_count& count) { return count.answered; });
    std::vector<std::uint8_t> released;
    released.reserve(counts.size());
    std::transform(counts.begin(), counts.end(), std::back_inserter(released),
                   [](const steering::crash_count& count) { return count.is_released ? 1U : 0U; });
    flatbuffers::FlatBufferBuilder builder;
    const auto notice = schema::CreateCrashNoticeDirect(builder, &items, &answered, &released);
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
    // Gateways of older builds do not tell.
    const auto* const answered = notice->answered();
    for (std::uint32_t index = 0; answered != nullptr && index < answered->size(); ++index) {
        if (index < counts.size()) {
            counts[index].answered = answered->Get(index);
        }
    }
    const auto* const released = notice->released();
    for (std::uint32_t index = 0; released != nullptr && index < released->size(); ++index) {
        if (index < counts.size()) {
            counts[index].is_released = released->Get(index) != 0;
        }
    }
    return counts;
}

} // namespace carawayway::gateway
