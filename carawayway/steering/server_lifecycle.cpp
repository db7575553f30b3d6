// The state machine of a backend server, in Boost.MSM.
#include "carawayway/steering/server_lifecycle.hpp"

// The transition table has more rows than the preprocessed headers of MPL allow.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_LIST_SIZE 30

#include <boost/mpl/vector.hpp>
#include <boost/mpl/vector/vector30.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cassert>
#include <cstddef>

namespace carawayway::steering {

namespace {

namespace front = boost::msm::front;
namespace back = boost::msm::back;

struct open_cold {};
struct open_warm {};
struct warmed_up {};
struct restart {};
struct eject {};
struct recover {};
struct drain {};
struct remove {};
struct rediscover {};

// Stores its enum value in the machine when it is entered.
template <server_state State>
struct recorded_state : front::state<> {
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine) {
        machine.current = State;
    }
};

struct lifecycle_front : front::state_machine_def<lifecycle_front> {
    using starting = recorded_state<server_state::starting>;
    using warming = recorded_state<server_state::warming>;
    using active = recorded_state<server_state::active>;
    using suspect = recorded_state<server_state::suspect>;
    using draining = recorded_state<server_state::draining>;
    using gone = recorded_state<server_state::gone>;

    using initial_state = starting;

    struct transition_table
        : boost::mpl::vector21<front::Row<starting, open_cold, warming>,
                               front::Row<starting, open_warm, active>, front::Row<starting, drain, draining>,
                               front::Row<starting, remove, gone>, front::Row<warming, warmed_up, active>,
                               front::Row<warming, restart, warming>, front::Row<warming, eject, suspect>,
                               front::Row<warming, drain, draining>, front::Row<warming, remove, gone>,
                               front::Row<active, restart, warming>, front::Row<active, eject, suspect>,
                               front::Row<active, drain, draining>, front::Row<active, remove, gone>,
                               front::Row<suspect, recover, active>, front::Row<suspect, restart, warming>,
                               front::Row<suspect, drain, draining>, front::Row<suspect, remove, gone>,
                               front::Row<draining, open_cold, warming>,
                               front::Row<draining, open_warm, active>, front::Row<draining, remove, gone>,
                               front::Row<gone, rediscover, starting>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}

    server_state current = server_state::starting;
};

constexpr std::array<std::string_view, 6> state_names{"starting", "warming",  "active",
                                                      "suspect",  "draining", "gone"};

} // namespace

struct server_lifecycle::machine : back::state_machine<lifecycle_front> {
    transition process(server_event event) {
        switch (event) {
        case server_event::open_cold:
            return outcome(process_event(open_cold{}));
        case server_event::open_warm:
            return outcome(process_event(open_warm{}));
        case server_event::warmed_up:
            return outcome(process_event(warmed_up{}));
        case server_event::restart:
            return outcome(process_event(restart{}));
        case server_event::eject:
            return outcome(process_event(eject{}));
        case server_event::recover:
            return outcome(process_event(recover{}));
        case server_event::drain:
            return outcome(process_event(drain{}));
        case server_event::remove:
            return outcome(process_event(remove{}));
        case server_event::rediscover:
            return outcome(process_event(rediscover{}));
        }
        return transition::ignored;
    }

    static transition outcome(back::HandledEnum result) {
        return result == back::HANDLED_TRUE ? transition::taken : transition::ignored;
    }
};

server_lifecycle::server_lifecycle() : m_machine(std::make_unique<machine>()) {
    m_machine->start();
}

server_lifecycle::~server_lifecycle() = default;
server_lifecycle::server_lifecycle(server_lifecycle&&) noexcept = default;
server_lifecycle& server_lifecycle::operator=(server_lifecycle&&) noexcept = default;

transition server_lifecycle::apply(server_event event) {
    assert(m_machine != nullptr);
    const transition result = m_machine->process(event);
    m_state = m_machine->current;
    return result;
}

std::string_view to_string(server_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

} // namespace carawayway::steering
