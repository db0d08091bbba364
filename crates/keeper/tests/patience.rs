//! Commands for an executor whose disk refuses writes are buffered for a while and then dropped, so that no sender
//! blocks.

use budget::prelude::{Budget, BudgetLimits};
use coordinator::prelude::{CoreQuery, QueryOutcome};
use keeper::prelude::*;
use ledger::prelude::DiskFault;
use links::prelude::{Hello, LinkEvent, Purpose, accept_links, dial_and_run};
use queues::prelude::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use units::prelude::{FleetId, NodeId, Span};

fn refusal() -> DiskFault {
    DiskFault { reason: "no room".into(), is_transient: true }
}

/// An operation that the disk refuses for this long.
fn refused_for(span: Duration) -> impl FnMut() -> Result<(), DiskFault> {
    let began = Instant::now();
    move || if began.elapsed() < span { Err(refusal()) } else { Ok(()) }
}

fn query() -> (ExecutorCommand, oneshot::Receiver<QueryOutcome>) {
    let (reply, answer) = oneshot::channel();
    (ExecutorCommand::Query { query: CoreQuery::State, timeout: Span::seconds(3), reply }, answer)
}

fn next_commands(retry_queue: &mut RetryQueue) -> Vec<ExecutorCommand> {
    retry_queue.next_batch(Duration::ZERO, 256).unwrap()
}

#[test]
fn a_short_refusal_loses_no_command() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let (first, _first_answer) = query();
    queue.send(first).unwrap();
    queue.send(ExecutorCommand::Seeds(vec!["seed".into()])).unwrap();
    let mut refusals = Vec::new();
    let done =
        retry_queue.run_with_retry(refused_for(Duration::from_millis(50)), |waited| refusals.push(waited)).unwrap();
    assert_eq!((done, refusals.len()), (Some(()), 1));
    let left = next_commands(&mut retry_queue);
    assert!(matches!(left.as_slice(), [ExecutorCommand::Query { .. }, ExecutorCommand::Seeds(_)]), "{}", left.len());
    assert_eq!(next_commands(&mut retry_queue).len(), 0);
}

#[test]
fn a_long_refusal_blocks_no_sender_and_keeps_few_commands() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let all_sent = Arc::new(AtomicBool::new(false));
    let sent_flag = Arc::clone(&all_sent);
    let sender = std::thread::spawn(move || {
        queue.send(ExecutorCommand::Seeds(vec!["seed".into()])).unwrap();
        let mut answers = Vec::new();
        for _ in 0..200_000 {
            let (command, answer) = query();
            queue.send(command).unwrap();
            answers.push(answer);
        }
        sent_flag.store(true, Ordering::SeqCst);
        (queue, answers)
    });
    // The refusal lasts until all commands are sent, however slow the machine is: nothing receives them afterwards.
    let mut refused = refused_for(Duration::from_secs(5));
    let refused_until_sent = || if all_sent.load(Ordering::SeqCst) { refused() } else { Err(refusal()) };
    let done = retry_queue.run_with_retry(refused_until_sent, |_| ()).unwrap();
    assert_eq!(done, Some(()));
    let (_queue, answers) = sender.join().unwrap();
    let left = next_commands(&mut retry_queue);
    assert!(matches!(left.as_slice(), [ExecutorCommand::Seeds(_)]), "{} commands are left", left.len());
    for answer in answers {
        assert!(answer.blocking_recv().is_err(), "a dropped query is answered as unknown");
    }
}

#[test]
fn retrying_ends_on_a_stop_command_and_on_a_damaged_folder() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let damage = || Err::<(), _>(DiskFault { reason: "damaged".into(), is_transient: false });
    assert!(retry_queue.run_with_retry(damage, |_| ()).is_err());
    queue.send(ExecutorCommand::Stop).unwrap();
    let began = Instant::now();
    assert_eq!(retry_queue.run_with_retry(|| Err::<(), _>(refusal()), |_| ()).unwrap(), None);
    assert!(began.elapsed() < Duration::from_secs(1));
}

/// Dials as an agent or a keeper does; the flag is set when the stream ends.
fn dial(address: &str, purpose: Purpose) -> Arc<AtomicBool> {
    let ended = Arc::new(AtomicBool::new(false));
    let (address, ended_flag) = (address.to_owned(), Arc::clone(&ended));
    std::thread::spawn(move || {
        let hello = Hello::new(FleetId(1), NodeId::random(), purpose);
        let events = Mutex::new(Vec::new());
        let _ = dial_and_run::<u64>(&address, hello, &|event| {
            events.lock().unwrap().push(event);
            true
        });
        ended_flag.store(true, Ordering::SeqCst);
    });
    ended
}

#[test]
fn links_of_keepers_are_kept_and_those_of_agents_closed() {
    let (queue, commands) = bounded_queue::<ExecutorCommand>(64);
    let mut retry_queue = RetryQueue::new(commands);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let own_hello = || Hello::new(FleetId(1), NodeId(7), Purpose::Keeper);
    let budget = Budget::new(BudgetLimits { bytes: 1 << 30, connections: 512 });
    accept_links(listener, own_hello, budget, move |link_event| {
        queue.send(ExecutorCommand::Link(link_event)).is_ok()
    });
    let (agent_ended, keeper_ended) = (dial(&address, Purpose::Agent), dial(&address, Purpose::Keeper));
    retry_queue.run_with_retry(refused_for(Duration::from_secs(3)), |_| ()).unwrap();
    assert!(agent_ended.load(Ordering::SeqCst) && !keeper_ended.load(Ordering::SeqCst));
    let left = next_commands(&mut retry_queue);
    assert!(
        matches!(left.as_slice(), [ExecutorCommand::Link(LinkEvent::Up(_, hello))] if hello.purpose == Purpose::Keeper),
        "{} commands are left",
        left.len()
    );
}
