// A handle that cancels a running operation when it is destroyed.
#pragma once

#include <functional>
#include <utility>

namespace carawayway::store {

class cancel_handle {
public:
    cancel_handle() = default;
    explicit cancel_handle(std::function<void()> cancel_operation)
        : m_cancel_operation(std::move(cancel_operation)) {}

    cancel_handle(const cancel_handle&) = delete;
    cancel_handle& operator=(const cancel_handle&) = delete;
    cancel_handle(cancel_handle&& other) noexcept
        : m_cancel_operation(std::exchange(other.m_cancel_operation, nullptr)) {}
    cancel_handle& operator=(cancel_handle&& other) noexcept {
        if (this != &other) {
            cancel();
            m_cancel_operation = std::exchange(other.m_cancel_operation, nullptr);
        }
        return *this;
    }
    ~cancel_handle() { cancel(); }

    // Has no effect on an operation that has ended.
    void cancel() {
        if (const auto cancel_operation = std::exchange(m_cancel_operation, nullptr)) {
            cancel_operation();
        }
    }

private:
    std::function<void()> m_cancel_operation; // empty when there is nothing to cancel
};

} // namespace carawayway::store
