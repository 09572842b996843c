//! Guards against `explain` losing records of a request, or showing those of other requests and
//! processes, when log lines of several processes are mixed with other text.

#![allow(clippy::unwrap_used)]

use argh::FromArgs;
use cli::{
    OperatorArgs,
    run_command, //
};

const LOG_LINES: &str = r#"
{"time_ms":900,"level":"info","process":"g-2","kind":"backend","chosen":"i-9","reason":"leaving"}
{"time_ms":1000,"level":"warn","process":"g-1","kind":"dependency","reason":"store does not answer"}
   0.37 g-1 {"time_ms":2000,"level":"info","process":"g-1","kind":"route","request":"9c41","class":"r-1","chosen":"i-1","reason":"least expected time","inputs":{"config":7,"wait_ms":12}}
{"time_ms":2001,"level":"info","process":"g-1","kind":"route","request":"other","chosen":"i-2","reason":"least expected time"}
not a record
{"time_ms":2005,"level":"info","process":"g-1","kind":"retry","request":"9c41","chosen":"i-1","reason":"backend_refused","inputs":{"left_ms":1400}}
{"time_ms":2006,"level":"warn","process":"g-1","kind":"refuse","request":"9c41","reason":"repeats_spent","inputs":{"held_ms":6,"retry_after_ms":300}}
"#;

fn explain(request: &str) -> Result<String, String> {
    let path = std::env::temp_dir().join(format!("explain-{}-{request}.log", std::process::id()));
    std::fs::write(&path, LOG_LINES).unwrap();
    let command_args = ["explain", request, "--log", path.to_str().unwrap()];
    let args = OperatorArgs::from_args(&["galenarail"], &command_args).unwrap();
    let report = run_command(&args);
    std::fs::remove_file(&path).unwrap();
    report
        .map(|report| report.text)
        .map_err(|error| format!("{error}; {}", error.hint()))
}

#[test]
fn explain_refused_request() {
    insta::assert_snapshot!(explain("9c41").unwrap(), @r#"
      +0 ms g-1 dependency -: store does not answer
    * +1000 ms g-1 route i-1: least expected time config=7 wait_ms=12
    * +1005 ms g-1 retry i-1: backend_refused left_ms=1400
    * +1006 ms g-1 refuse -: repeats_spent held_ms=6 retry_after_ms=300
    "#);
}

#[test]
fn explain_unknown_request() {
    let error = explain("none").unwrap_err();
    assert!(
        error.contains("there is no log line for request none"),
        "{error}"
    );
}

#[test]
fn status_without_store_address() {
    let args = OperatorArgs::from_args(&["galenarail"], &["status"]).unwrap();
    let error = run_command(&args).unwrap_err();
    assert!(error.hint().contains("--store"));
}
