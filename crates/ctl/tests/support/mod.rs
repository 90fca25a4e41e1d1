//! Runs the tool in this process against a platform stand-in.
#![allow(dead_code)]

use std::env;
use std::ffi;
use std::fs;
use std::net;
use std::path;

use guavactl::cli;
use guavactl::exit;
use guavactl::platform;
use guavactl::run;
use guavausher_core::store;
use guavausher_standins::handle;
use guavausher_standins::platform as standin;

/// A platform and the files of one site.
pub struct Session {
    pub handle: handle::Handle,
    folder: path::PathBuf,
}

/// What one command printed and returned.
#[derive(Debug)]
pub struct Ran {
    pub exit: exit::Exit,
    pub out: String,
    pub err: String,
}

impl Session {
    /// Starts a platform; `test` names a folder of its own.
    pub fn start(test: &str) -> Self {
        let handle = standin::start(standin::Config::default()).expect("platform");
        let folder = format!("{test}-{}", handle.address().port());
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
        fs::create_dir_all(&folder).expect("folder");
        Self { handle, folder }
    }

    pub fn address(&self) -> net::SocketAddr {
        self.handle.address()
    }

    pub fn platform(&self) -> platform::Platform {
        platform::Platform::new(self.address())
    }

    /// Writes an overlay and returns its path.
    pub fn overlay(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("overlay");
        path.to_string_lossy().into_owned()
    }

    /// Runs a command line as an operator.
    pub fn run(&self, author: &str, line: &str) -> Ran {
        run_at(self.address(), author, line)
    }

    /// Sets faults of the platform.
    pub fn fault(&self, json: &str) {
        self.post("/standin/faults", json);
    }

    /// Adds an instance to the platform's list.
    pub fn register(&self, name: &str, domain: &str, kind: &str, leaving: bool) {
        let json = format!(
            "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:1\",\"domain\":\"{domain}\",\
             \"kind\":\"{kind}\",\"leaving\":{leaving}}}"
        );
        self.post("/instances", &json);
    }

    fn post(&self, path: &str, json: &str) {
        let request = oxhttp::model::Request::builder()
            .method("POST")
            .uri(format!("http://{}{path}", self.address()))
            .body(oxhttp::model::Body::from(json.to_owned()))
            .expect("request");
        let response = oxhttp::Client::new().request(request).expect("answer");
        assert!(response.status().is_success(), "{}", response.status());
    }

    /// Returns how many calls of a kind the platform has had.
    pub fn calls(&self, kind: &str) -> u64 {
        let request = oxhttp::model::Request::builder()
            .uri(format!("http://{}/standin/calls", self.address()))
            .body(oxhttp::model::Body::empty())
            .expect("request");
        let response = oxhttp::Client::new().request(request).expect("calls");
        let body = response.into_body().to_vec().expect("body");
        let calls: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        calls[kind].as_u64().expect("count")
    }

    /// Reads a stored object.
    pub fn read(&self, key: &str) -> Option<store::Object> {
        match self.platform().read(key) {
            store::Reply::Found(object) => Some(object),
            store::Reply::Missing => None,
            reply => panic!("{reply:?}"),
        }
    }

    /// Stores an object over whatever is there.
    pub fn store(&self, key: &str, body: &str) {
        let expected = self.read(key).map(|object| object.version);
        let reply = self.platform().write(key, expected, body.as_bytes());
        assert!(matches!(reply, store::Reply::Written(_)), "{reply:?}");
    }
}

impl Ran {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }
}

/// Runs a command line as an operator of the platform at an address.
pub fn run_at(platform: net::SocketAddr, author: &str, line: &str) -> Ran {
    run(line, |name| match name {
        "GUAVAUSHER_PLATFORM" => Some(platform.to_string()),
        "GUAVAUSHER_AUTHOR" => Some(author.to_owned()),
        "GUAVAUSHER_BASE" => Some(example("base")),
        "GUAVAUSHER_OVERLAY" => Some(example("erdene")),
        "GUAVAUSHER_TIMEOUT" => Some("20".to_owned()),
        _ => None,
    })
}

/// Runs a command line with the given variables.
pub fn run(line: &str, variable: impl Fn(&str) -> Option<String>) -> Ran {
    let args = line.split_whitespace().map(ffi::OsString::from).collect();
    let invocation = cli::parse(args, variable).expect("command line");
    let mut output = run::Output {
        out: Vec::new(),
        err: Vec::new(),
        terminal: false,
    };
    let exit = run::run(&invocation, &mut output);
    Ran {
        exit,
        out: String::from_utf8(output.out).expect("UTF-8"),
        err: String::from_utf8(output.err).expect("UTF-8"),
    }
}

/// Returns the path of an example.
pub fn example(name: &str) -> String {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    format!("{folder}/{name}.toml")
}

/// Returns an example with one text replaced.
pub fn edited(name: &str, old: &str, new: &str) -> String {
    let text = fs::read_to_string(example(name)).expect("example");
    assert!(text.contains(old), "{old}");
    text.replacen(old, new, 1)
}
