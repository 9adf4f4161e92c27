//! Forwards a request: picks a server, sends, retries where that is allowed, and answers the caller.

mod through_peer;

use crate::gateway::admission::{self, AdmissionClass};
use crate::gateway::buffers::{BufferKind, Buffers, Reservation};
use crate::gateway::core::Gateway;
use crate::gateway::limited::SERVERS_IN_NEED;
use crate::gateway::port::{BodyEnd, Reply, SendError, SendOptions};
use crate::gateway::quarantine::RunProgress;
use crate::gateway::relay;
use crate::gateway::request::{Answer, AnswerBody, Call, IncompleteBody, full_body};
use crate::gateway::servers::ServerKey;
use crate::gateway::slot::{NoSlot, Slot};
use crate::gateway::table::{RouteKind, Service};
use crate::outcome::{Failure, NotSent, Reason};
use crate::time;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http_body_util::{BodyExt, BodyStream, StreamBody};
use hyper::body::Frame;
use log::{info, warn};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Largest response of a plain service that is buffered until it is complete, in bytes.
const MAX_BUFFERED: usize = 256 << 10;
/// Maximum number of sends of one request that reach a server, including those that the server declines.
const MAX_SENDS: usize = 4;
/// Number of unreachable servers, counted separately, after which a request is given up. Each may take the
/// whole connect timeout, so by then a plain request has missed its latency target.
const MAX_UNREACHED: usize = 4;
/// Fraction of a plain route's latency target after which a silent server is given up for another one.
const SILENCE_FRACTION: f64 = 0.6;

/// The outcome of one send. [`NotSent`] is the proof that the request has never run; it is absent once that
/// is not certain.
pub(crate) enum SendOutcome {
    /// A response for the caller, complete or streaming.
    Answered(Answer),
    /// The request may have run and failed; with the server's response, if there is one to pass on.
    Failed(Option<Answer>, &'static str),
    /// No connection was established: nothing arrived at the server.
    NotReached(Option<NotSent>),
    /// The server did not run the request.
    NotRun(Option<NotSent>, &'static str),
}

/// The state of one request across its sends.
struct Attempts<'a> {
    gateway: &'a Arc<Gateway>,
    call: &'a Arc<Call>,
    service: Arc<Service>,
    /// The request's admission class on its arrival.
    admission_class: AdmissionClass,
    /// Servers that were tried, in order.
    tried: Vec<ServerKey>,
    /// How many of these were unreachable, so that the request never arrived there.
    unreached: usize,
    /// Number of sends after which the request may have run.
    runs: u32,
}

impl Gateway {
    /// Forwards a request and returns the response, at the latest at the deadline or the end of a planned stop.
    pub async fn answer(self: &Arc<Self>, call: Call) -> Result<Answer, Failure> {
        let call = Arc::new(call);
        let began = time::now();
        let attempt = self.attempt(&call);
        let answered = tokio::select! {
            biased;
            answered = time::timeout_at(call.deadline, attempt) => answered.unwrap_or_else(|| {
                info!(id = call.id.as_str(), route = call.route.name.as_str(); "out of time");
                self.record_response_time(&call, time::since(began));
                Err(Failure::unknown(Reason::new(
                    504,
                    "out_of_time",
                    "no answer within the time given",
                )))
            }),
            () = self.wait_for_last_answers() => {
                let why = "daemon_stopped";
                info!(id = call.id.as_str(), route = call.route.name.as_str(), why = why; "ended without success");
                Err(Failure::unknown(Reason::new(504, why, "no answer before the daemon stopped")))
            }
        };
        let kind = call.route.kind.name();
        let outcome = match &answered {
            Ok(answer) if answer.status.is_server_error() => "server_error",
            Ok(_) => "answered",
            Err(failure) => failure.outcome().name(),
        };
        self.metrics.requests.with_label_values(&[kind, outcome]).inc();
        let seconds = time::since(call.arrived).as_secs_f64();
        self.metrics.answer_seconds.with_label_values(&[kind]).observe(seconds);
        answered
    }

    async fn attempt(self: &Arc<Self>, call: &Arc<Call>) -> Result<Answer, Failure> {
        let proof = NotSent::begin();
        let Some(service) = self.draw_service(call) else {
            return Err(refused(proof, "no_service".into()));
        };
        if call.continues()
            && !self.isolation.is_cut_off()
            && let Err(why) = self.identify_stream(call, &service).await
        {
            return Err(refused(proof, why));
        }
        // Forwarded requests are counted by the daemon that they are forwarded to.
        if !self.isolation.is_cut_off() {
            self.count_request(&service.name, time::now());
        }
        let admission_class = self.class_on_arrival(&service, call, time::now());
        let (tried, unreached, runs) = (Vec::new(), 0, 0);
        Attempts { gateway: self, call, service, admission_class, tried, unreached, runs }
            .run(proof)
            .await
    }

    /// Counts the connection that a request was sent on. It was established unless nothing was sent.
    fn count_connection(&self, sent: &Result<Reply, SendError>) {
        let outcome = match sent {
            Err(SendError::Unsent { refused: true, .. }) => "refused",
            Err(SendError::Unsent { .. }) => "failed",
            Ok(_) | Err(SendError::Unanswered { .. }) => "established",
        };
        self.metrics.connections.with_label_values(&[outcome]).inc();
    }
}

impl Attempts<'_> {
    async fn run(mut self, proof: NotSent) -> Result<Answer, Failure> {
        let mut proof = Some(proof);
        // The latest error response of a server.
        let mut fallback = None;
        loop {
            if let Some(proof) = proof.take_if(|_| self.gateway.isolation.is_cut_off()) {
                return self.answer_through_peer(proof).await;
            }
            let slot = match self.next_slot_or_borrow_quota().await {
                Ok(slot) => slot,
                Err(_) if proof.is_some() && self.gateway.isolation.verdict().await => continue,
                Err(why) => return self.give_up(proof, fallback, why),
            };
            if self.tried.is_empty() {
                self.count_decision(None);
            }
            self.tried.push(slot.key());
            match self.send_with_timeout(slot, proof.take()).await {
                SendOutcome::Answered(answer) => return Ok(answer),
                SendOutcome::NotReached(returned) => {
                    self.count_failed_send("server did not run the request", "not_reached");
                    self.unreached += 1;
                    proof = returned;
                }
                SendOutcome::NotRun(returned, why) => {
                    self.count_failed_send("server did not run the request", why);
                    proof = returned;
                }
                SendOutcome::Failed(answer, why) => {
                    self.count_failed_send("failed at a server", why);
                    self.runs += 1;
                    fallback = answer.or(fallback);
                    if !self.call.route.may_run_again(self.runs) {
                        return self.give_up(None, fallback, why.into());
                    }
                }
            }
        }
    }

    /// Picks the next server to try. If only limited servers are left and this daemon has no quota for them,
    /// borrows quota from a peer.
    async fn next_slot_or_borrow_quota(&self) -> Result<Slot, NoSlot> {
        let now = time::now();
        match self.next_slot(now) {
            Err(why) if why.reason == SERVERS_IN_NEED => {
                match self.gateway.borrow_quota(&self.service, self.call, &self.tried, now).await {
                    true => self.next_slot(time::now()),
                    false => Err(why),
                }
            }
            slot => slot,
        }
    }

    /// Picks the next server to try, if the rules and the budget allow another send.
    fn next_slot(&self, now: Instant) -> Result<Slot, NoSlot> {
        if !self.gateway.is_authorized(self.call, now) {
            return Err("key_not_confirmed".into());
        }
        if !self.gateway.can_finish(&self.service, self.call, now) {
            return Err("daemon_leaves".into());
        }
        let arrived = self.tried.len() - self.unreached;
        if arrived >= MAX_SENDS || self.unreached >= MAX_UNREACHED {
            let (servers, why) = (self.gateway.servers(), "servers_refuse".into());
            return Err(self.gateway.after_backoff(why, &servers, &self.service, self.call, now));
        }
        // A send counts as a retry only if an earlier one arrived at a server.
        match arrived {
            0 => {
                let admission_class = self.admission_class;
                self.gateway.slot(&self.service, self.call, admission_class, &self.tried, now)
            }
            _ => {
                let admission_class = AdmissionClass::Returned;
                self.gateway.slot_for_retry(
                    &self.service,
                    self.call,
                    admission_class,
                    &self.tried,
                    now,
                )
            }
        }
    }

    /// Sends the request. If it may run again, a silent server is given up in time to try another one.
    async fn send_with_timeout(&self, slot: Slot, proof: Option<NotSent>) -> SendOutcome {
        let (key, sample) = (slot.key(), slot.rollout_sample);
        let Some(limit) = self.silence_timeout(&slot) else {
            return self.send(slot, proof).await;
        };
        timeout(limit, self.send(slot, proof)).await.unwrap_or_else(|_| {
            self.gateway.record_result(key, true);
            if let Some(sample) = sample {
                self.gateway.record_rollout_sample(sample, true);
            }
            SendOutcome::Failed(None, "silent")
        })
    }

    async fn send(&self, mut slot: Slot, proof: Option<NotSent>) -> SendOutcome {
        let never_ran = proof.is_some();
        let now = time::now();
        slot.store_age = self.gateway.record_store_age(now);
        let left = self.call.time_left(now);
        let after = self.call.after;
        let options = SendOptions {
            to: slot.place.destination.clone(),
            time_left: left,
            resume_from: None,
            after,
            priority: self.gateway.engine_priority(&self.service, self.call),
        };
        self.gateway.log_server_remarks(self.call, slot.key(), now);
        let sent = self.gateway.wire.send(self.call, options, proof).await;
        self.gateway.count_connection(&sent);
        let reply = match sent {
            Ok(reply) => {
                self.gateway.note_connected();
                reply
            }
            Err(error) => return self.handle_send_error(&slot, error).await,
        };
        self.gateway.handle_remarks(slot.key(), &reply.remarks, now);
        let declared = || never_ran.then(NotSent::declared);
        if reply.misdirected {
            self.gateway.servers().mark_leaving(slot.key(), time::now());
            return SendOutcome::NotRun(declared(), "replaced");
        }
        if reply.declined && matches!(reply.status.as_u16(), 408 | 429 | 503) {
            // A server that declines requests has no load, so it looks free to daemons whose requests it has
            // not declined yet. The failure recorded here is reported to them.
            slot.record_refusal();
            return SendOutcome::NotRun(declared(), "declined");
        }
        if self.call.route.kind == RouteKind::Streaming && reply.status.is_success() {
            return relay::begin(self.gateway, self.call, &self.service, slot, reply).await;
        }
        let (failed, succeeded) = (reply.status.is_server_error(), reply.status.is_success());
        let status = reply.status.as_u16();
        let body_end = reply.body_end;
        let mut answer = read_answer(reply, &self.gateway.buffers, self.call.deadline).await;
        if answer.is_ok()
            && body_end == BodyEnd::Close
            && self.gateway.has_ended(&slot.place.destination).await
        {
            answer = Err(IncompleteBody { reason: "its server has ended".into() });
        }
        slot.record_result(failed || answer.is_err());
        if succeeded && answer.is_ok() && self.service.engine.is_none() {
            let (done, slo) = (time::now(), self.call.route.latency_slo);
            let taken = done.saturating_duration_since(now);
            self.gateway.servers().record_response(slot.key(), taken, slo, done);
        }
        let (id, route) = (self.call.id.as_str(), self.call.route.name.as_str());
        let (server, whole) = (slot.id(), answer.is_ok());
        let ms = time::since(self.call.arrived).as_millis() as u64;
        let store_age_ms = slot.store_age_ms();
        info!(id = id, route = route, server = server, status = status, whole = whole, ms = ms, knowledge_ms = store_age_ms; "response received");
        if answer.is_ok() {
            self.gateway.record_response_time(self.call, time::since(now));
        }
        let Ok(answer) = answer else {
            self.gateway.handle_lost_run(self.call, &slot, RunProgress::NoEvents).await;
            return SendOutcome::Failed(None, "broken_answer");
        };
        self.gateway.note_survived(self.call, succeeded);
        match failed {
            true => SendOutcome::Failed(Some(answer), "server_error"),
            false => SendOutcome::Answered(answer),
        }
    }

    async fn handle_send_error(&self, slot: &Slot, error: SendError) -> SendOutcome {
        let (id, server) = (self.call.id.as_str(), slot.id());
        match error {
            SendError::Unsent { proof, refused, reason } => {
                if !self.gateway.note_unreachable(slot.key()) {
                    slot.record_result(true);
                }
                slot.record_connect_failure(refused);
                warn!(id = id, server = server, reason = reason.as_str(); "could not reach server");
                SendOutcome::NotReached(proof)
            }
            SendError::Unanswered { reason } => {
                slot.record_result(true);
                warn!(id = id, server = server, reason = reason.as_str(); "no response from server");
                self.gateway.handle_lost_run(self.call, slot, RunProgress::NoEvents).await;
                SendOutcome::Failed(None, "no_answer")
            }
        }
    }

    /// How long to wait for a silent server; `None` (no limit) if the request may not run again.
    fn silence_timeout(&self, slot: &Slot) -> Option<Duration> {
        if !self.call.route.may_run_again(self.runs + 1) {
            return None;
        }
        let latency_slo = self.call.route.latency_slo;
        Some(match self.call.route.kind {
            RouteKind::Safe => latency_slo.mul_f64(SILENCE_FRACTION),
            _ => admission::first_event_timeout(
                latency_slo,
                slot.waiting_tokens + slot.place.load.unread_prompt,
            ),
        })
    }

    /// Counts that the request was admitted, or the reason for which it was refused.
    fn count_decision(&self, refused: Option<&'static str>) {
        self.gateway.count_admission(&self.service, self.call, self.admission_class, refused);
    }

    fn count_failed_send(&self, what: &str, why: &str) {
        self.gateway.metrics.failed_sendings.with_label_values(&[why]).inc();
        self.log(what, why);
    }

    fn log(&self, what: &str, why: &str) {
        let (id, route) = (self.call.id.as_str(), self.call.route.name.as_str());
        let request = self.call.fingerprint().to_string();
        let server = self.tried.last().and_then(|key| self.gateway.server_id(*key));
        let server = server.as_deref().unwrap_or_default();
        info!(id = id, route = route, request = request.as_str(), server = server, sending = self.tried.len(), why = why; "{what}");
    }

    /// The final response to a request that is not sent again.
    fn give_up(
        &self,
        proof: Option<NotSent>,
        fallback: Option<Answer>,
        why: NoSlot,
    ) -> Result<Answer, Failure> {
        let why = match &proof {
            Some(_) => self.gateway.schedule_return(&self.service, self.call, why, time::now()),
            None => why,
        };
        // The reason may have changed since the server was chosen, so a refusal is counted only here.
        if self.tried.is_empty() {
            self.count_decision(Some(why.reason));
        }
        self.gateway.count_not_continued(why.reason);
        self.log("ended without success", why.reason);
        match proof {
            Some(proof) => {
                if let Some(due) = why.due {
                    self.gateway.reserve_quota(&self.service.name, due);
                }
                Err(refused(proof, why))
            }
            None => {
                let reason =
                    Reason::new(502, why.reason, "the backend server gave no whole answer");
                fallback.ok_or(Failure::unknown(reason))
            }
        }
    }
}

/// The failure for a request that did not run.
pub(crate) fn refused(proof: NotSent, why: NoSlot) -> Failure {
    let reason = Reason::new(503, why.reason, "not run; send the request again after Retry-After");
    Failure::not_run(proof, reason.retry_after(why.retry_after.as_millis() as u64))
}

/// Reads a plain response until it is complete. One that exceeds [`MAX_BUFFERED`], or for which the memory for
/// responses is used up, is streamed to the caller.
async fn read_answer(
    reply: Reply,
    buffers: &Buffers,
    deadline: Instant,
) -> Result<Answer, IncompleteBody> {
    let Reply { status, headers, mut body, .. } = reply;
    let mut buffered = BytesMut::new();
    let mut held: Option<Reservation> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        buffered.extend_from_slice(&data);
        let reserved = buffers.try_reserve(BufferKind::Responses, data.len());
        let has_room = reserved.is_some();
        held = match (held, reserved) {
            (Some(mut held), Some(reserved)) => {
                held.merge(reserved);
                Some(held)
            }
            (held, reserved) => held.or(reserved),
        };
        if !has_room || buffered.len() > MAX_BUFFERED {
            let first = attach(buffered.freeze(), held);
            let rest = until_deadline(body, deadline);
            return Ok(Answer { status, headers, body: with_first_part(first, rest) });
        }
    }
    Ok(Answer { status, headers, body: full_body(attach(buffered.freeze(), held)) })
}

/// Keeps the reservation of buffered bytes, if there is one, until they have been passed on.
fn attach(bytes: Bytes, held: Option<Reservation>) -> Bytes {
    match held {
        Some(held) => held.attach(bytes),
        None => bytes,
    }
}

/// Puts the part that has been read back in front of a body.
fn with_first_part(first: Bytes, rest: AnswerBody) -> AnswerBody {
    let first = futures_util::stream::once(async { Ok(Frame::data(first)) });
    StreamBody::new(first.chain(BodyStream::new(rest))).boxed_unsync()
}

/// Ends a body at the deadline, as incomplete: it may come without end, or stop coming.
fn until_deadline(body: AnswerBody, deadline: Instant) -> AnswerBody {
    let frames =
        futures_util::stream::unfold(Some(BodyStream::new(body)), move |body| async move {
            let mut body = body?;
            // Frames that never fail to be ready would hide the deadline.
            let is_over = time::now() >= deadline;
            let next = if is_over { None } else { time::timeout_at(deadline, body.next()).await };
            match next {
                Some(frame) => frame.map(|frame| (frame, Some(body))),
                None => Some((Err(IncompleteBody { reason: "out of time".into() }), None)),
            }
        });
    StreamBody::new(frames).boxed_unsync()
}
