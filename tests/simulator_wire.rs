//! Tests of the simulator's adapter with valid and invalid input.
use quota_gateway::simulator::Host;
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "START rng_seed=5 balancers=2 my_number=1 classes.count=1 classes.0.name=view \
    classes.0.deadline=3000000 classes.0.on_time=750000 classes.0.effect=pure plans.count=1 plans.0.name=p \
    plans.0.per_second=10.0 plans.0.peak_units=20.0 specifics.counter=true specifics.count_limit=80000 \
    bounds.max_attempts=3 unheard.of=7 zone=a zones=a,b";
const LIST: &str = "FLEET gen=1 scope=warm_copy items=1\n\
    ITEM backend=10.0.0.1:80 rack_zone=a model=m pod=0 status=in_service heft=1";

fn run_input(text: &str) -> Result<Vec<String>, String> {
    let mut host = Host::default();
    let mut replies = Vec::new();
    for line in text.lines() {
        replies.extend(host.handle_line(line).map_err(|e| e.to_string())?);
    }
    host.finish().map_err(|e| e.to_string())?;
    Ok(replies)
}

fn run_after_start(rest: &str) -> Result<Vec<String>, String> {
    run_input(&format!("TICK now=1000000\nFOR who=3\n{START}\n{LIST}\n{rest}"))
}

const KNOCK: &str =
    "KNOCK ref=9 kind=view user_key=91f03b7c55d20a64 doors=2 plan=p drop_dead=3000000 price_units=2";

#[test]
fn empty_batch_gets_an_empty_reply() {
    assert_eq!(run_input("TICK now=5\nFLUSH").unwrap(), ["EOR\n"]);
}

#[test]
fn request_is_counted_then_forwarded() {
    let replies = run_after_start(&format!("{KNOCK}\nFLUSH")).unwrap();
    let increment = replies[0]
        .lines()
        .find(|l| l.starts_with("ADD_AND_GET") && l.contains("amount=2"))
        .expect("an increment");
    assert!(replies[0].starts_with("AS who=3\n") && replies[0].ends_with("EOR\n"));
    let counter_field = increment.split(' ').find(|p| p.starts_with("book=")).unwrap();
    let counter_reply = format!("COUNT_RESULT {counter_field} how=200 result_value=2 took=900");
    let replies = run_after_start(&format!(
        "{KNOCK}\nFLUSH\nTICK now=1002000\nFOR who=3\nSOMETHING_NEW a=1\n{counter_reply}\nFLUSH"
    ))
    .unwrap();
    assert!(replies[1].contains("ROUTE ref=9 backend=10.0.0.1:80 abandon_at="), "{}", replies[1]);
}

#[test]
fn stopped_gateway_sends_no_reply() {
    let replies = run_after_start(&format!("{KNOCK}\nDOWN\n{KNOCK}\nFLUSH")).unwrap();
    assert_eq!(replies, ["EOR\n"]);
}

#[test]
fn invalid_lines_give_errors_that_name_the_field() {
    let cases = [
        ("KNOCK ref=x", "kind"),
        ("KNOCK ref=9 kind=view plan=p user_key=zz price_units=2", "user_key"),
        ("KNOCK ref=9 kind=nope plan=p user_key=1", "a known class"),
        ("KNOCK ref=99999999999999999999999 kind=view plan=p user_key=1", "ref"),
        ("KNOCK ref=9 kind=view plan=p user_key=1 price_units=-1", "price_units"),
        ("OUTCOME ref=9 backend=10.0.0.1:80 how=777", "how"),
        ("RING", "ref"),
        ("RING ref", "name=value"),
        ("FLEET scope=odd items=0", "scope"),
        ("FLEET scope=total items=2\nFLUSH", "ITEM"),
        ("ITEM backend=b status=in_service", "FLEET"),
    ];
    for (line, field) in cases {
        let error = run_after_start(&format!("{line}\nFLUSH")).expect_err(line);
        assert!(error.starts_with("line ") && error.contains(field), "{line}: {error}");
        assert_eq!(error.lines().count(), 1);
    }
    assert!(run_input("RING ref=1").is_err(), "outside a batch");
    assert!(run_input("TICK now=5\nFLUSH\nTICK now=4\nFLUSH").is_err(), "a clock that goes back");
    assert!(run_input("TICK now=5").is_err(), "a batch without an end");
    assert!(run_input("TICK now=5\nRING ref=1\nFLUSH").is_err(), "an event before any FOR line");
    let invalid_start = START.replace("balancers=2", "balancers=0");
    assert!(run_input(&format!("TICK now=1\nFOR who=1\n{invalid_start}\nFLUSH")).is_err());
}

#[test]
fn program_reports_invalid_input_in_one_line_and_exits() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_quota-gateway-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the simulator starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(b"TICK now=1\nFLUSH\nTICK now=abc\n")
        .expect("the simulator reads its input");
    let output = child.wait_with_output().expect("the simulator exits");
    assert!(!output.status.success());
    assert_eq!(output.stdout, b"EOR\n");
    let error = String::from_utf8(output.stderr).expect("plain text");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("line 3") && error.contains("now"));
}
