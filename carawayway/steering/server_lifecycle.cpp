// The transition table of a backend server, in Boost.MSM.
#include "carawayway/steering/server_lifecycle.hpp"

// The table has more rows than the preprocessed headers of MPL allow.
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
struct turn_cold {};
struct lose {};
struct recover {};
struct drain {};
struct remove {};
struct rediscover {};

// Records its number when it is entered.
template <server_state Number>
struct numbered_state : front::state<> {
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine) {
        machine.entered = Number;
    }
};

struct lifecycle_front : front::state_machine_def<lifecycle_front> {
    using starting = numbered_state<server_state::starting>;
    using warming = numbered_state<server_state::warming>;
    using active = numbered_state<server_state::active>;
    using suspect = numbered_state<server_state::suspect>;
    using draining = numbered_state<server_state::draining>;
    using gone = numbered_state<server_state::gone>;

    using initial_state = starting;

    struct transition_table
        : boost::mpl::vector21<front::Row<starting, open_cold, warming>,
                               front::Row<starting, open_warm, active>, front::Row<starting, drain, draining>,
                               front::Row<starting, remove, gone>, front::Row<warming, warmed_up, active>,
                               front::Row<warming, turn_cold, warming>, front::Row<warming, lose, suspect>,
                               front::Row<warming, drain, draining>, front::Row<warming, remove, gone>,
                               front::Row<active, turn_cold, warming>, front::Row<active, lose, suspect>,
                               front::Row<active, drain, draining>, front::Row<active, remove, gone>,
                               front::Row<suspect, recover, active>, front::Row<suspect, turn_cold, warming>,
                               front::Row<suspect, drain, draining>, front::Row<suspect, remove, gone>,
                               front::Row<draining, open_cold, warming>,
                               front::Row<draining, open_warm, active>, front::Row<draining, remove, gone>,
                               front::Row<gone, rediscover, starting>> {};

    template <class Machine, class Event>
    void no_transition(const Event& /*event*/, Machine& /*machine*/, int /*state*/) {}

    server_state entered = server_state::starting;
};

constexpr std::array<std::string_view, 6> state_names{"starting", "warming",  "active",
                                                      "suspect",  "draining", "gone"};

} // namespace

struct server_lifecycle::machine : back::state_machine<lifecycle_front> {
    transition send(server_event event) {
        switch (event) {
        case server_event::open_cold:
            return outcome(process_event(open_cold{}));
        case server_event::open_warm:
            return outcome(process_event(open_warm{}));
        case server_event::warmed_up:
            return outcome(process_event(warmed_up{}));
        case server_event::turn_cold:
            return outcome(process_event(turn_cold{}));
        case server_event::lose:
            return outcome(process_event(lose{}));
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
    const transition result = m_machine->send(event);
    m_state = m_machine->entered;
    return result;
}

std::string_view to_string(server_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

} // namespace carawayway::steering
