// Child processes, temporary folders and waiting, for tests that run the program itself.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace carawayway::test_support {

// Evaluates the condition again and again until it holds. False when one generous limit is over, which means
// that the event will not happen: no test depends on its length.
bool wait_until(const std::function<bool()>& condition);

class temporary_folder {
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;
    ~temporary_folder(); // removes it with its files

    const std::string& path() const { return m_path; }
    void write(const std::string& name, std::string_view text) const;

private:
    std::string m_path;
};

std::string read_text(const std::string& path);

// A port that is free on the addresses 127.1.0.0 to 127.9.255.255: it is held on 127.0.0.1 for as long as
// this object lives, and other tests that reserve one get another number.
class reserved_port {
public:
    reserved_port();
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;
    reserved_port(reserved_port&&) = delete;
    reserved_port& operator=(reserved_port&&) = delete;
    ~reserved_port();

    std::string on(const std::string& host) const { return host + ":" + std::to_string(m_number); }

private:
    int m_socket;
    unsigned m_number = 0;
};

class child_process {
public:
    // Starts arguments[0] with both outputs in a file. To be called on a thread that outlives the process:
    // the kernel ends the process together with that thread, so that a crashed test leaves nothing behind.
    child_process(const std::vector<std::string>& arguments, std::string output_file);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;
    ~child_process(); // kills it

    void send_signal(int number) const;
    // The exit code, or minus the signal that ended it; empty when it does not end.
    std::optional<int> wait();

    std::string output() const { return read_text(m_output_file); }
    // Lines that contain the text.
    std::vector<std::string> lines_with(std::string_view text) const;

private:
    bool has_ended();

    std::string m_output_file;
    pid_t m_pid;
    std::optional<int> m_result; // set once the process has been waited for
};

} // namespace carawayway::test_support
