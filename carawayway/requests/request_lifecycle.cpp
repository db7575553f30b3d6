// The transitions are defined by a Boost.MSM state machine. An MSM object takes 104 bytes, more than half of
// a record of the registry. So the machine is run once through all states and events, and requests use the
// resulting table.
#include "carawayway/requests/request_lifecycle.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>
#include <cstddef>

namespace carawayway::requests {

namespace {

namespace front = boost::msm::front;

struct dispatch {};
struct finish {};

struct received : front::state<> {};
struct dispatched : front::state<> {};
struct finished : front::state<> {};
struct refused : front::state<> {};

struct lifecycle_definition : front::state_machine_def<lifecycle_definition> {
    using initial_state = received;

    // clang-format off
    struct transition_table : boost::mpl::vector<
        front::Row<received,   dispatch, dispatched>,
        front::Row<received,   finish,   refused>,
        front::Row<dispatched, finish,   finished>
    > {};
    // clang-format on

    // The default aborts the process; here, an event that is not allowed is an expected case.
    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}
};

using lifecycle_machine = boost::msm::back::state_machine<lifecycle_definition>;

constexpr std::size_t state_count = 4;
constexpr std::size_t event_count = 2;

using transition_map = std::array<std::array<std::optional<request_state>, event_count>, state_count>;

request_state current_state(const lifecycle_machine& machine) {
    using states = boost::msm::back::generate_state_set<lifecycle_machine::stt>::type;
    static_assert(boost::mpl::size<states>::value == state_count, "each state needs a request_state");
    const int current = *machine.current_state();
    if (current == boost::msm::back::get_state_id<lifecycle_machine::stt, received>::value) {
        return request_state::received;
    }
    if (current == boost::msm::back::get_state_id<lifecycle_machine::stt, dispatched>::value) {
        return request_state::dispatched;
    }
    if (current == boost::msm::back::get_state_id<lifecycle_machine::stt, finished>::value) {
        return request_state::finished;
    }
    return request_state::refused;
}

bool process(lifecycle_machine& machine, request_event event) {
    const auto result = event == request_event::dispatch ? machine.process_event(dispatch{})
                                                         : machine.process_event(finish{});
    return result == boost::msm::back::HANDLED_TRUE;
}

// Fills the rows of the current state of `machine` and of all states that can be reached from it.
void explore(const lifecycle_machine& machine, transition_map& map) {
    const auto row = static_cast<std::size_t>(current_state(machine));
    for (std::size_t event = 0; event < event_count; ++event) {
        lifecycle_machine next = machine;
        if (!process(next, static_cast<request_event>(event))) {
            continue;
        }
        map.at(row).at(event) = current_state(next);
        explore(next, map);
    }
}

transition_map build_transition_map() {
    transition_map map{};
    lifecycle_machine machine;
    machine.start();
    explore(machine, map);
    return map;
}

} // namespace

std::optional<request_state> next_state(request_state state, request_event event) {
    static const transition_map map = build_transition_map();
    return map.at(static_cast<std::size_t>(state)).at(static_cast<std::size_t>(event));
}

std::string_view to_string(request_state state) {
    switch (state) {
    case request_state::received:
        return "received";
    case request_state::dispatched:
        return "dispatched";
    case request_state::finished:
        return "finished";
    case request_state::refused:
        break;
    }
    return "refused";
}

} // namespace carawayway::requests
