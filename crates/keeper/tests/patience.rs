//! What waits for an executor whose disk refuses: kept for a while, then dropped, so that nobody stands still.

use coordinator::prelude::{CoreQuery, QueryOutcome};
use keeper::prelude::*;
use ledger::prelude::DiskFault;
use links::prelude::{Hello, LinkEvent, Purpose, accept_links, dial_and_hold};
use queues::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use units::prelude::{FleetId, NodeId, Span};

fn refusal() -> DiskFault {
    DiskFault { reason: "no room".into(), may_pass: true }
}

/// An attempt that is refused for so long.
fn refused_for(span: Duration) -> impl FnMut() -> Result<(), DiskFault> {
    let began = Instant::now();
    move || if began.elapsed() < span { Err(refusal()) } else { Ok(()) }
}

fn ask() -> (ExecutorCommand, oneshot::Receiver<QueryOutcome>) {
    let (reply, answer) = oneshot::channel();
    (ExecutorCommand::Query { query: CoreQuery::State, timeout: Span::seconds(3), reply }, answer)
}

fn next_commands(retry_queue: &mut RetryQueue) -> Vec<ExecutorCommand> {
    retry_queue.next_batch(Duration::ZERO, 256).unwrap()
}

#[test]
fn a_short_refusal_loses_nothing_that_was_said() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let (first, _first_answer) = ask();
    queue.send(first).unwrap();
    queue.send(ExecutorCommand::Seeds(vec!["seed".into()])).unwrap();
    let mut told = Vec::new();
    let done =
        retry_queue.run_with_retry(refused_for(Duration::from_millis(50)), |waited| told.push(waited)).unwrap();
    assert_eq!((done, told.len()), (Some(()), 1));
    let kept = next_commands(&mut retry_queue);
    assert!(matches!(kept.as_slice(), [ExecutorCommand::Query { .. }, ExecutorCommand::Seeds(_)]), "{}", kept.len());
    assert_eq!(next_commands(&mut retry_queue).len(), 0);
}

#[test]
fn a_long_refusal_blocks_nobody_and_keeps_little() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let is_all_said = Arc::new(AtomicBool::new(false));
    let all_said = Arc::clone(&is_all_said);
    let saying = std::thread::spawn(move || {
        queue.send(ExecutorCommand::Seeds(vec!["seed".into()])).unwrap();
        let mut answers = Vec::new();
        for _ in 0..200_000 {
            let (command, answer) = ask();
            queue.send(command).unwrap();
            answers.push(answer);
        }
        all_said.store(true, Ordering::SeqCst);
        (queue, answers)
    });
    // However slow the machine is, the refusal outlasts all that is said: nobody takes anything after it.
    let mut refused = refused_for(Duration::from_secs(5));
    let refused_until_said = || if is_all_said.load(Ordering::SeqCst) { refused() } else { Err(refusal()) };
    let done = retry_queue.run_with_retry(refused_until_said, |_| ()).unwrap();
    assert_eq!(done, Some(()));
    let (_queue, answers) = saying.join().unwrap();
    let kept = next_commands(&mut retry_queue);
    assert!(matches!(kept.as_slice(), [ExecutorCommand::Seeds(_)]), "{} commands are kept", kept.len());
    for answer in answers {
        assert!(answer.blocking_recv().is_err(), "whoever asked is told that nothing is known");
    }
}

#[test]
fn it_ends_when_told_to_and_where_the_folder_is_damaged() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let damage = || Err::<(), _>(DiskFault { reason: "damaged".into(), may_pass: false });
    assert!(retry_queue.run_with_retry(damage, |_| ()).is_err());
    queue.send(ExecutorCommand::Stop).unwrap();
    let began = Instant::now();
    assert_eq!(retry_queue.run_with_retry(|| Err::<(), _>(refusal()), |_| ()).unwrap(), None);
    assert!(began.elapsed() < Duration::from_secs(1));
}

/// Dials as an agent or a keeper does; tells whether the stream has ended.
fn dial(address: &str, purpose: Purpose) -> Arc<AtomicBool> {
    let ended = Arc::new(AtomicBool::new(false));
    let (address, told) = (address.to_owned(), Arc::clone(&ended));
    std::thread::spawn(move || {
        let hello = Hello::new(FleetId(1), NodeId::random(), purpose);
        let events = Mutex::new(Vec::new());
        let _ = dial_and_hold::<u64>(&address, hello, &|event| {
            events.lock().unwrap().push(event);
            true
        });
        told.store(true, Ordering::SeqCst);
    });
    ended
}

#[test]
fn links_of_keepers_are_kept_and_agents_sent_to_another() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let own_hello = || Hello::new(FleetId(1), NodeId(7), Purpose::Keeper);
    accept_links(listener, own_hello, move |link_event| queue.send(ExecutorCommand::Link(link_event)).is_ok());
    let (agent_ended, keeper_ended) = (dial(&address, Purpose::Agent), dial(&address, Purpose::Keeper));
    retry_queue.run_with_retry(refused_for(Duration::from_secs(3)), |_| ()).unwrap();
    assert!(agent_ended.load(Ordering::SeqCst) && !keeper_ended.load(Ordering::SeqCst));
    let kept = next_commands(&mut retry_queue);
    assert!(
        matches!(kept.as_slice(), [ExecutorCommand::Link(LinkEvent::Up(_, hello))] if hello.purpose == Purpose::Keeper),
        "{} commands are kept",
        kept.len()
    );
}
