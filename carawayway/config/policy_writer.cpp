// Writes one INI section for each item, in the order of the policy.
#include "carawayway/config/policy_writer.hpp"

#include "carawayway/config/policy_fields.hpp"
#include "carawayway/config/value_text.hpp"

#include <string_view>

namespace carawayway::config {

namespace {

// Replaces control characters by spaces, so that a value cannot add lines to the document.
std::string one_line(std::string text) {
    for (char& character : text) {
        if (static_cast<unsigned char>(character) < ' ') {
            character = ' ';
        }
    }
    return text;
}

class section_writer {
public:
    section_writer(std::string_view title, std::string& text) : m_text(text) {
        m_text += m_text.empty() ? "[" : "\n[";
        m_text += one_line(std::string(title));
        m_text += "]\n";
    }

    // Leaves out absent values and empty lists and texts.
    template <class Value>
    void operator()(std::string_view key, const Value& value) const {
        const std::string formatted = one_line(format_value(value));
        if (formatted.empty()) {
            return;
        }
        m_text += one_line(std::string(key));
        m_text += " = ";
        m_text += formatted;
        m_text += '\n';
    }

private:
    std::string& m_text;
};

template <class Item>
void write_items(std::string_view kind, const std::vector<Item>& items, std::string& text) {
    for (const auto& item : items) {
        visit_fields(item, section_writer(std::string(kind) + " " + item.name, text));
    }
}

} // namespace

std::string to_ini(const policy& content) {
    std::string text;
    visit_fields(content, section_writer("policy", text));
    write_items("region", content.regions, text);
    write_items("domain", content.failure_domains, text);
    write_items("service", content.services, text);
    write_items("server", content.servers, text);
    if (!content.client_blocks.empty()) {
        const section_writer write("client_blocks", text);
        for (const auto& block : content.client_blocks) {
            write(block.prefix, block.region);
        }
    }
    if (!content.draining_entries.empty()) {
        visit_drain_fields(content, section_writer("drain", text));
    }
    return text;
}

} // namespace carawayway::config
