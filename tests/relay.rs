//! Promise 1 over random faults: whatever an engine sends, the reader gets 1, 2, 3, … of one generation.

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use proptest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tidestair::ask::Ask;
use tidestair::engine::*;
use tidestair::forecast::LengthKey;
use tidestair::grant::Alone;
use tidestair::metrics::Metrics;
use tidestair::outcome::NotSent;
use tidestair::pool::Pool;
use tidestair::relay::{Delivery, End, Job, Reader, Relay};
use tidestair::resource::{Algorithm, EnginePoolSpec, PolicySpec, ReplicaSpec, Resource, Spec};
use tidestair::seal::GenerationId;
use tidestair::slot::Slot;
use tidestair::snapshot::Snapshot;
use tidestair::wire::Fault;

const OUTPUT: u32 = 24;

/// What an engine does next on a stream.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Sends the next tokens.
    Tokens(u32),
    /// Sends the last token again.
    Repeat,
    /// Skips a token.
    Skip,
    /// Sends a token of another generation.
    Foreign,
    /// Breaks the connection.
    Break,
    /// Sends nothing any more.
    Silence,
    /// Ends without a proper end.
    End,
    /// Says that it finished, wherever it is.
    Finish,
    /// Loses the generation: it cannot be resumed.
    Lose,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (1u32..9).prop_map(Step::Tokens),
        2 => Just(Step::Repeat),
        2 => Just(Step::Skip),
        1 => Just(Step::Foreign),
        2 => Just(Step::Break),
        1 => Just(Step::Silence),
        1 => Just(Step::End),
        1 => Just(Step::Finish),
        1 => Just(Step::Lose),
    ]
}

/// An engine that follows a script over all its streams, then behaves.
struct Scripted {
    script: Arc<Mutex<VecDeque<Step>>>,
    lost: Arc<Mutex<Vec<GenerationId>>>,
}

struct ScriptedStream {
    script: Arc<Mutex<VecDeque<Step>>>,
    lost: Arc<Mutex<Vec<GenerationId>>>,
    generation: GenerationId,
    sent: u32,
    run: u32,
}

fn token(generation: GenerationId, index: u32) -> EngineEvent {
    EngineEvent::Token(Token { generation, index, text: format!("{}.{index}", generation.0) })
}

impl EngineStream for ScriptedStream {
    fn next(&mut self) -> BoxFuture<'_, Result<Option<EngineEvent>, Fault>> {
        async move {
            let behaves = self.script.lock().unwrap().is_empty();
            if self.run == 0 && !behaves {
                let step = self.script.lock().unwrap().pop_front();
                match step.expect("checked above") {
                    Step::Tokens(n) => self.run = n,
                    Step::Repeat => return Ok(Some(token(self.generation, self.sent.max(1)))),
                    Step::Skip => self.sent += 1,
                    Step::Foreign => return Ok(Some(token(GenerationId(1), self.sent + 1))),
                    Step::Break => return Err(Fault::Unknown),
                    Step::Silence => std::future::pending().await,
                    Step::End => return Ok(None),
                    Step::Finish => return Ok(Some(finish(self.sent))),
                    Step::Lose => {
                        self.lost.lock().unwrap().push(self.generation);
                        return Err(Fault::Unknown);
                    }
                }
            }
            if self.sent >= OUTPUT {
                return Ok(Some(finish(OUTPUT)));
            }
            self.run = self.run.saturating_sub(1);
            self.sent += 1;
            Ok(Some(token(self.generation, self.sent)))
        }
        .boxed()
    }
}

fn finish(made: u32) -> EngineEvent {
    let output_tokens = made.max(OUTPUT);
    EngineEvent::Finished(Finish { reason: "stop".into(), prompt_tokens: 3, output_tokens })
}

impl Scripted {
    fn stream(&self, generation: GenerationId, sent: u32) -> OpenStream {
        let (script, lost) = (self.script.clone(), self.lost.clone());
        Box::new(ScriptedStream { script, lost, generation, sent, run: 0 })
    }
}

impl Engine for Scripted {
    fn open<'a>(
        &'a self,
        _: SocketAddr,
        dispatch: &'a Dispatch,
        _: NotSent,
    ) -> BoxFuture<'a, Result<OpenStream, OpenError>> {
        let stream = self.stream(dispatch.generation, 0);
        std::future::ready(Ok(stream)).boxed()
    }

    fn resume(
        &self,
        _: SocketAddr,
        generation: GenerationId,
        after: u32,
    ) -> BoxFuture<'_, Result<OpenStream, ResumeError>> {
        let gone = self.lost.lock().unwrap().contains(&generation);
        let resumed =
            if gone { Err(ResumeError::Gone) } else { Ok(self.stream(generation, after)) };
        std::future::ready(resumed).boxed()
    }

    fn cancel(&self, _: SocketAddr, _: GenerationId) -> BoxFuture<'_, bool> {
        std::future::ready(false).boxed()
    }

    fn pause(&self, _: SocketAddr, _: GenerationId) -> BoxFuture<'_, bool> {
        std::future::ready(true).boxed()
    }

    fn load(&self, _: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        std::future::ready(None).boxed()
    }
}

/// Writes down what it is given; `whole` forgets it on a restart.
#[derive(Default)]
struct Recorder {
    tokens: Vec<(GenerationId, u32)>,
    whole: bool,
}

impl Reader for Recorder {
    fn accepted(&mut self, _: GenerationId, _: &Slot) -> BoxFuture<'_, Delivery> {
        std::future::ready(Delivery::Taken).boxed()
    }

    fn token<'a>(&'a mut self, token: &'a Token) -> BoxFuture<'a, Delivery> {
        self.tokens.push((token.generation, token.index));
        std::future::ready(Delivery::Taken).boxed()
    }

    fn gone(&self) -> BoxFuture<'static, ()> {
        std::future::pending().boxed()
    }

    fn may_restart(&self) -> bool {
        self.whole || self.tokens.is_empty()
    }

    fn restart(&mut self) {
        self.tokens.clear();
    }
}

fn pool() -> Arc<Pool> {
    let now = Instant::now();
    let pool = Arc::new(Pool::new(
        "m1",
        "h",
        Duration::from_secs(3_600),
        1,
        Arc::new(Metrics::new()),
        now,
    ));
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let replicas = vec![ReplicaSpec { name: "r".into(), address, hall: "h".into() }];
    let policy = PolicySpec { algorithm: Algorithm::RoundRobin, headroom: Default::default() };
    let spec = EnginePoolSpec {
        model: "m1".into(),
        policy: "rr".into(),
        replicas,
        max_tokens: 100,
        queue_length: 10,
    };
    let declared = Resource::new("rr", Spec::Policy(policy));
    let entry = tidestair::platform::Entry {
        key: tidestair::snapshot::key(declared.kind(), "rr"),
        value: serde_json::to_vec(&declared).unwrap(),
        revision: 1,
    };
    pool.apply(&spec, &Snapshot::from_entries(&[entry], 1), now);
    let report = LoadReport {
        capacity: 1_000,
        used: 0,
        running: 0,
        waiting: 0,
        preemptions: 0,
        age_ms: 0,
        leaving: false,
    };
    pool.report(address, Some(report), now);
    pool
}

fn job() -> Job {
    let ask = Ask {
        lengths: LengthKey { workspace: "w".into(), class: "c".into() },
        share: 1,
        priority: 1,
        streamed: true,
        policy: "rr".into(),
        prompt: 3,
        prefix: None,
        prefix_tokens: 0,
    };
    let dispatch = Dispatch {
        generation: GenerationId(0),
        shape: Shape::Chat,
        body: Default::default(),
        priority: 1,
        orphan_ms: 1_000,
    };
    let second = Duration::from_secs(1);
    Job { ask, dispatch, wait: second, gap: second, silence: second, resume: second }
}

async fn relay(script: Vec<Step>, whole: bool) -> (bool, Recorder) {
    let engine = Scripted { script: Arc::new(Mutex::new(script.into())), lost: Arc::default() };
    let metrics = Arc::new(Metrics::new());
    let relay = Relay::new(Arc::new(Alone), pool(), Arc::new(engine), metrics);
    let mut reader = Recorder { whole, ..Recorder::default() };
    let ended = relay.run(job(), &mut reader).await;
    (matches!(ended, Ok(End::Complete(_))), reader)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn each_token_once_in_order_from_one_generation(
        script in proptest::collection::vec(step(), 0..30),
        whole: bool,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (complete, reader) = runtime.block_on(relay(script, whole));
        for (i, (generation, index)) in reader.tokens.iter().enumerate() {
            prop_assert_eq!(*index, i as u32 + 1);
            prop_assert_eq!(*generation, reader.tokens[0].0);
        }
        if complete {
            prop_assert_eq!(reader.tokens.len() as u32, OUTPUT);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn without_faults_the_answer_is_complete() {
    let (complete, reader) = relay(Vec::new(), false).await;
    assert!(complete);
    assert_eq!(reader.tokens.len() as u32, OUTPUT);
}
