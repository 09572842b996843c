//! Tests of the gateway program as the platform runs it, with a settings file and signals.

#![allow(clippy::unwrap_used)]

use std::io::{
    BufRead,
    BufReader, //
};
use std::net::{
    TcpListener,
    UdpSocket, //
};
use std::path::PathBuf;
use std::process::{
    Child,
    ChildStdout,
    Command,
    Stdio, //
};

use serde_json::{
    Value,
    json, //
};

struct TestProgram {
    child: Child,
    stdout: BufReader<ChildStdout>,
    path: PathBuf,
    settings: Value,
}

fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

impl TestProgram {
    fn start(name: &str) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let settings = json!({
            "instance": "g-1", "data_centre": "midlands-a", "listen": free_address(),
            "readiness": free_address(), "metrics": free_address(), "store": free_address(),
            "exchange": socket.local_addr().unwrap().to_string(), "grace_s": 1.0,
            "repeat_ratio": 0.2, "repeat_window_s": 10.0, "repeat_allowance": 56.0,
            "order_turn_ms": 3000.0, "descriptors": 4000,
        });
        drop(socket);
        let path = std::env::temp_dir().join(format!("gateway-{name}-{}", std::process::id()));
        std::fs::write(&path, settings.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_galenarail-gateway"))
            .env("GALENARAIL_SETTINGS", &path)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let stdout = BufReader::new(child.stdout.take().unwrap());
        Self {
            child,
            stdout,
            path,
            settings,
        }
    }

    fn write_grace(&mut self, grace: f64) {
        self.settings["grace_s"] = grace.into();
        std::fs::write(&self.path, self.settings.to_string()).unwrap();
    }

    /// Skips log lines until the next one of kind `process`, and returns it.
    fn next_process_line(&mut self) -> Value {
        loop {
            let mut text = String::new();
            let length = self.stdout.read_line(&mut text).unwrap();
            assert_ne!(length, 0, "the gateway has exited");
            let line: Value = serde_json::from_str(&text).unwrap();
            if line["kind"] == "process" {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(status.success());
    }
}

impl Drop for TestProgram {
    fn drop(&mut self) {
        // Killing fails if the program has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
    }
}

#[test]
fn program_sighup_reloads_settings() {
    let mut program = TestProgram::start("hangup");
    assert_eq!(program.next_process_line()["reason"], "started");
    program.write_grace(0.6);
    program.signal("-HUP");
    let line = program.next_process_line();
    assert_eq!(line["reason"], "settings reloaded");
    assert_eq!(line["inputs"]["grace_s"], 0.6);
    assert_eq!(line["inputs"]["needs_restart"], false);
}

#[test]
fn program_changed_file_reloads_settings() {
    let mut program = TestProgram::start("changed");
    assert_eq!(program.next_process_line()["reason"], "started");
    program.write_grace(0.7);
    let line = program.next_process_line();
    assert_eq!(line["inputs"]["grace_s"], 0.7);
    // Invalid settings are rejected and the current ones stay in effect.
    program.write_grace(0.0);
    let line = program.next_process_line();
    assert_eq!(line["level"], "warn");
    assert!(line["reason"].as_str().unwrap().contains("grace_s"));
    program.signal("-TERM");
    assert_eq!(program.next_process_line()["reason"], "stopping");
    assert_eq!(program.next_process_line()["reason"], "stopped");
    assert!(program.child.wait().unwrap().success());
}
