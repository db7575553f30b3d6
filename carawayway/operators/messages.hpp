// Short names for the message types of operators.fbs.
#pragma once

#include "carawayway/operators/operators_generated.h"

namespace carawayway::operators {

using apply_policy_request = schema::apply_policy_requestT;
using change_reply = schema::change_replyT;
using get_policy_request = schema::get_policy_requestT;
using policy_reply = schema::policy_replyT;
using list_revisions_request = schema::list_revisions_requestT;
using revision_record = schema::revision_recordT;
using revisions_reply = schema::revisions_replyT;
using status_request = schema::status_requestT;
using status_reply = schema::status_replyT;
using drain_request = schema::drain_requestT;
using set_shift_cap_request = schema::set_shift_cap_requestT;
using explain_request = schema::explain_requestT;
using explain_reply = schema::explain_replyT;

using schema::change_outcome;
using schema::drain_kind;
using schema::policy_source;
using schema::policy_state;
using schema::server_use;

} // namespace carawayway::operators
