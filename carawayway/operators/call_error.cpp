// Builds problem documents (RFC 9457) with additional members for diagnostics and the current policy.
#include "carawayway/operators/call_error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawayway::operators {

namespace json = boost::json;

namespace {

json::array to_json(const std::vector<config::diagnostic>& diagnostics) {
    json::array list;
    for (const auto& item : diagnostics) {
        list.push_back(json::object{{"line", item.line},
                                    {"section", item.section},
                                    {"key", item.key},
                                    {"expected", item.expected},
                                    {"nearest", item.nearest},
                                    {"text", config::to_string(item)}});
    }
    return list;
}

} // namespace

std::string problem_document(const call_error& error) {
    const auto& row = base::answer_for(error.kind);
    json::object document;
    document["type"] = "urn:carawayway:error:" + std::string(row.name);
    document["title"] = row.title;
    document["status"] = row.status;
    document["detail"] = error.detail;
    document["kind"] = row.name;
    document["execution"] = base::to_string(row.execution);
    document["advice"] = base::to_string(row.advice);
    if (!error.diagnostics.empty()) {
        document["diagnostics"] = to_json(error.diagnostics);
    }
    if (error.current) {
        document["current_revision"] = error.current->revision;
        document["current_change_id"] = error.current->change_id;
        document["current_comment"] = error.current->comment;
    }
    return json::serialize(document) + "\n";
}

} // namespace carawayway::operators
