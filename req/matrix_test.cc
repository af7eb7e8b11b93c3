#include "once/once.h"
#include "req/req.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/*
 * Fault matrix of the request state machine (req) and the claims (once), run in a discrete-event
 * simulation with its own clock. Every fault is injected at every step, alone and in pairs, and the
 * invariants are checked afterwards.
 */
namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000 * kMs;
constexpr uint64_t kTokens = 6;
constexpr int64_t kDeadline = 20 * kSecond;
constexpr int64_t kEndOfSimulation = 150 * kSecond;
constexpr int64_t kSilenceLimit = 900 * kMs; /* a peer silent for longer counts as lost */
constexpr int64_t kFreezeTime = 6 * kSecond; /* how long a frozen host is suspended */

/* Steps of the first request at which faults are injected. */
enum Step {
	kAccepted,
	kGrantAsked,
	kGranted,
	kClaimAppended,
	kClaimRead,
	kDispatched,
	kFirstToken,
	kMidAnswer,
	kLastToken,
	kEndFrame,
	kSteps
};

const char *const kStepNames[kSteps] = {
	"accepted",   "grant-asked", "granted",	   "claim-appended", "claim-read",
	"dispatched", "first-token", "mid-answer", "last-token",     "end-mark"};

enum Fault {
	kEntryDies,
	kHomeDies,
	kStageDies,
	kFirstStageDies,
	kStageSilent,
	kLinkSlow,
	kConnectionSilent,
	kLogOut,
	kLogSlow,
	kAppendAnswerLost,
	kEntryFrozen,
	kHomeFrozen,
	kHostListStale,
	kOperatorChange,
	kPlannedStop,
	kFaults
};

const char *const kFaultNames[kFaults] = {"entry dies",		"home dies",	   "stage dies",
					  "first stage dies",	"stage silent",	   "link slow",
					  "connection silent",	"log out",	   "log slow",
					  "append answer lost", "entry frozen",	   "home frozen",
					  "host list stale",	"operator change", "planned stop"};

enum LogMode {
	kLogOk,
	kLogIsOut,
	kLogIsSlow,
	kLogLosesAnswer
};

struct World;

/* The faults of a pipeline. slow: factor on the time between tokens. */
struct Pipeline {
	bool first_dead = false, later_dead = false, silent = false, drained = false;
	int slow = 1;
};

/* A run at an engine, and the sessions that receive its stream. */
struct Run {
	std::string handle, key, request;
	int pipeline = 0;
	uint64_t first = 0, next = 0;
	bool ended = false, failed = false, detached = false;
	struct Listener {
		int session;
		unsigned attempt;
		bool muted;
	};
	std::vector<Listener> listeners;
};

/* A host that decides claims. */
struct Home {
	World *world = nullptr;
	struct once once;
	bool dead = false;
	int64_t frozen_until = 0;
};

/* One request at one entry host, with the tokens that its caller received. */
struct Session {
	World *world = nullptr;
	int index = 0, entry = 0;
	bool idempotent = true, joined_here = false;
	std::string request;
	struct req req;
	std::vector<std::string> claims;
	std::string winner_id, run_handle;
	int winner_session = -1, run_pipeline = 0, pipeline = 0;
	int64_t timer_due = -1;
	uint64_t timer_serial = 0;
	std::vector<uint64_t> received;
	bool finished = false, caller_gone = false;
	enum req_code code = REQ_OK;
	std::vector<int> joiners;
};

struct Entry {
	bool dead = false, stopping = false;
	int64_t frozen_until = 0;
	int home = 0; /* index of the home of claims and grants in this entry's list of hosts */
};

struct Injection {
	Step step;
	Fault fault;
	bool done;
};

struct World {
	World(bool idempotent, bool two_callers, std::vector<Injection> injections);
	~World();

	void ScheduleAt(int64_t when, std::function<void()> fn)
	{
		events.push({when, serial++, std::move(fn)});
	}
	void ScheduleAfter(int64_t delay, std::function<void()> fn)
	{
		ScheduleAt(now + delay, std::move(fn));
	}
	/* Schedules an event of an entry or home: dropped if dead, delayed while frozen. */
	void ToEntry(int entry, int64_t delay, std::function<void()> fn);
	void ToHome(int home, int64_t delay, std::function<void()> fn);
	void Run();
	void ReachStep(int session, Step step);
	void Inject(Fault fault);
	int StartSession(int entry, bool repeated);
	void OnSessionEnd(Session *s);
	void Generate(std::shared_ptr<struct Run> run);
	void Attach(std::shared_ptr<struct Run> run, Session *s, unsigned attempt, uint64_t from);
	void AskHome(Session *s, unsigned attempt, bool supersede, const std::string &id, int home,
		     int tries);
	void Join(Session *s);
	void SendAnswer(Session *from, int to);
	std::string Check();

	struct Event {
		int64_t when;
		uint64_t serial;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return when != o.when ? when > o.when : serial > o.serial;
		}
	};
	std::priority_queue<Event> events;
	uint64_t serial = 0;
	int64_t now = 0;
	bool idempotent;
	std::vector<Injection> injections;
	std::vector<std::string> log;
	LogMode log_mode = kLogOk;
	Home homes[2];
	Entry entries[2];
	Pipeline pipelines[2];
	std::vector<std::unique_ptr<Session>> sessions;
	std::vector<std::shared_ptr<struct Run>> runs;
	std::map<std::string, int> claim_sessions; /* id of the claim -> index of its session */
	req_settings settings;
	req_budget budget;
	req_est first_est{}, gap_est{};
	int callers_answered = 0;
};

void World::ToEntry(int entry, int64_t delay, std::function<void()> fn)
{
	ScheduleAfter(delay, [this, entry, fn]() {
		if (entries[entry].dead)
			return;
		if (entries[entry].frozen_until > now)
			ToEntry(entry, entries[entry].frozen_until - now, fn);
		else
			fn();
	});
}

void World::ToHome(int home, int64_t delay, std::function<void()> fn)
{
	ScheduleAfter(delay, [this, home, fn]() {
		if (homes[home].dead)
			return;
		if (homes[home].frozen_until > now)
			ToHome(home, homes[home].frozen_until - now, fn);
		else
			fn();
	});
}

/* Callbacks of the homes, and the log. */

void HomeAppend(void *ctx, const char *record)
{
	Home *h = (Home *)ctx;
	World *w = h->world;
	int index = (int)(h - w->homes);
	std::string text = record;
	LogMode mode = w->log_mode;

	if (mode == kLogIsOut) {
		w->ToHome(index, 5 * kMs, [h]() { once_on_appended(&h->once, false); });
		return;
	}
	w->ScheduleAfter(mode == kLogIsSlow ? 1500 * kMs : 5 * kMs, [w, text]() {
		w->log.push_back(text);
		w->ReachStep(0, kClaimAppended);
	});
	if (mode == kLogOk)
		w->ToHome(index, 5 * kMs, [h]() { once_on_appended(&h->once, true); });
	else
		w->ToHome(index, kSecond, [h]() { once_on_appended(&h->once, false); });
}

void HomeRead(void *ctx, int64_t from)
{
	Home *h = (Home *)ctx;
	World *w = h->world;
	int index = (int)(h - w->homes);

	w->ToHome(index, 5 * kMs, [h, w, from]() {
		bool ok = w->log_mode == kLogOk || w->log_mode == kLogLosesAnswer;
		for (size_t i = (size_t)from; ok && i < w->log.size(); i++)
			once_on_record(&h->once, (int64_t)i, str_from_cstr(w->log[i].c_str()),
				       w->now);
		once_on_read(&h->once, ok, (int64_t)w->log.size(), w->now);
	});
}

void HomeAnswer(void *ctx, once_requester requester, once_verdict verdict, const once_claim *winner)
{
	Home *h = (Home *)ctx;
	World *w = h->world;
	Session *s = w->sessions[requester.conn].get();
	unsigned attempt = (unsigned)requester.ask_id;
	std::string winner_id = winner ? winner->id : "";
	std::string handle = winner ? winner->request : "";
	int pipeline = winner ? atoi(winner->endpoints) : 0;

	w->ToEntry(s->entry, kMs, [=]() {
		if (s->finished)
			return;
		w->ReachStep(s->index, kClaimRead);
		if (w->entries[s->entry].dead)
			return;
		if (verdict == ONCE_LOST && s->req.state == REQ_WAIT_CLAIM) {
			s->winner_id = winner_id;
			s->run_handle = handle;
			s->run_pipeline = pipeline;
			auto it = w->claim_sessions.find(winner_id);
			s->winner_session = it == w->claim_sessions.end() ? -1 : it->second;
		}
		req_on_claim(&s->req, attempt,
			     verdict == ONCE_WON    ? REQ_CLAIM_WON
			     : verdict == ONCE_LOST ? REQ_CLAIM_LOST
						    : REQ_CLAIM_LOG_UNAVAILABLE,
			     w->now);
	});
}

void HomeTick(World *w, int home)
{
	w->ToHome(home, 250 * kMs, [w, home]() {
		once_on_tick(&w->homes[home].once, w->now);
		if (w->now < kEndOfSimulation)
			HomeTick(w, home);
	});
}

/* Callbacks of the requests. */

void ActAsk(void *ctx, unsigned attempt, char *const *exclude)
{
	Session *s = (Session *)ctx;
	World *w = s->world;
	bool excluded[2] = {false, false};
	bool home_up = !w->homes[w->entries[s->entry].home].dead;

	for (char *const *name = exclude; name && *name; name++)
		excluded[atoi(*name)] = true;
	w->ReachStep(s->index, kGrantAsked);
	w->ToEntry(s->entry, home_up ? 2 * kMs : kSilenceLimit, [=]() {
		int chosen = -1;
		for (int p = 0; p < 2 && chosen < 0; p++) {
			if (!excluded[p] && !w->pipelines[p].drained)
				chosen = p;
		}
		if (chosen < 0)
			chosen = w->pipelines[0].drained ? 1 : 0;
		if (s->finished || s->req.state != REQ_WAIT_GRANT || s->req.attempt != attempt)
			return;
		s->pipeline = chosen;
		std::string name = std::to_string(chosen);
		char *route[] = {(char *)name.c_str(), nullptr};
		w->ReachStep(s->index, kGranted);
		if (!w->entries[s->entry].dead)
			req_on_granted(&s->req, attempt, route, w->now);
	});
}

void ActWithdraw(void *, unsigned)
{
}

void ActClaim(void *ctx, unsigned attempt, bool supersede)
{
	Session *s = (Session *)ctx;
	std::string id = s->request + "/" + std::to_string(attempt);

	s->claims.push_back(id);
	s->world->claim_sessions[id] = s->index;
	s->world->AskHome(s, attempt, supersede, id, s->world->entries[s->entry].home, 0);
}

void ActRelease(void *ctx, unsigned)
{
	Session *s = (Session *)ctx;
	World *w = s->world;
	int home = w->entries[s->entry].home;

	for (const auto &id : s->claims)
		w->ToHome(home, kMs, [=]() {
			once_on_release(&w->homes[home].once, "a/k", id.c_str(), w->now);
		});
}

void ActDispatch(void *ctx, unsigned attempt, uint64_t delivered)
{
	Session *s = (Session *)ctx;
	World *w = s->world;
	int p = s->pipeline;
	auto run = std::make_shared<Run>();

	run->handle = s->request + "-" + std::to_string(attempt);
	run->key = s->idempotent ? "" : "a/k";
	run->request = s->request;
	run->pipeline = p;
	run->first = run->next = delivered;
	run->detached = !s->idempotent;
	s->run_handle = run->handle;
	s->run_pipeline = p;
	w->ReachStep(s->index, kDispatched);
	w->ScheduleAfter(kMs, [=]() {
		const Pipeline &state = w->pipelines[p];
		if (state.first_dead || state.drained) {
			req_failure why =
				state.first_dead ? REQ_FAILURE_NOT_SENT : REQ_FAILURE_NOT_RUN;
			w->ToEntry(s->entry, kMs, [=]() {
				if (!s->finished)
					req_on_attempt_failed(&s->req, attempt, why,
							      std::to_string(p).c_str(), w->now);
			});
			return;
		}
		w->runs.push_back(run);
		w->Attach(run, s, attempt, delivered);
		w->Generate(run);
	});
}

void ActResume(void *ctx, unsigned attempt, uint64_t from)
{
	Session *s = (Session *)ctx;
	World *w = s->world;
	std::string handle = s->run_handle;
	int p = s->run_pipeline;

	for (auto &run : w->runs) {
		for (auto &l : run->listeners)
			l.muted = l.muted || l.session == s->index;
	}
	w->ScheduleAfter(kMs, [=]() {
		std::shared_ptr<Run> found;
		for (auto &run : w->runs) {
			if (run->handle == handle)
				found = run;
		}
		if (w->pipelines[p].first_dead || !found || found->failed) {
			req_failure why = w->pipelines[p].first_dead ? REQ_FAILURE_STREAM_LOST
					  : !found		     ? REQ_FAILURE_RUN_UNKNOWN
								     : REQ_FAILURE_ENGINE;
			w->ToEntry(s->entry, kMs, [=]() {
				if (!s->finished)
					req_on_attempt_failed(&s->req, attempt, why, nullptr,
							      w->now);
			});
			return;
		}
		w->Attach(found, s, attempt, from);
	});
}

void ActCancel(void *ctx, unsigned, bool stop)
{
	Session *s = (Session *)ctx;

	for (auto &run : s->world->runs) {
		for (auto &l : run->listeners)
			l.muted = l.muted || l.session == s->index;
		if (run->request == s->request && (stop || !run->detached))
			run->ended = true;
	}
}

void ActUngrant(void *, unsigned, req_grant_end, const char *)
{
}

void ActJoin(void *ctx)
{
	Session *s = (Session *)ctx;

	s->world->ToEntry(s->entry, kMs, [s]() { s->world->Join(s); });
}

void ActDeliver(void *ctx, uint64_t index, const char *, size_t)
{
	Session *s = (Session *)ctx;

	s->received.push_back(index);
	if (s->received.size() == 1)
		s->world->ReachStep(s->index, kFirstToken);
	else if (s->received.size() == kTokens / 2)
		s->world->ReachStep(s->index, kMidAnswer);
	else if (s->received.size() == kTokens)
		s->world->ReachStep(s->index, kLastToken);
}

void ActFinish(void *ctx, req_code code, int64_t)
{
	Session *s = (Session *)ctx;

	s->finished = true;
	s->code = code;
	s->world->OnSessionEnd(s);
	if (code == REQ_OK)
		s->world->ReachStep(s->index, kEndFrame);
}

void ActTimer(void *ctx, int64_t due)
{
	Session *s = (Session *)ctx;
	uint64_t serial = ++s->timer_serial;

	s->world->ToEntry(s->entry, std::max<int64_t>(due - s->world->now, 0), [s, serial]() {
		if (!s->finished && serial == s->timer_serial)
			req_on_timer(&s->req, s->world->now);
	});
}

const req_ops kReqOps = {ActAsk,    ActWithdraw, ActClaim, ActRelease, ActDispatch, ActResume,
			 ActCancel, ActUngrant,	 ActJoin,  ActDeliver, ActFinish,   ActTimer};
const once_ops kOnceOps = {HomeAppend, HomeRead, HomeAnswer};

/* The simulation. */

World::World(bool idempotent_request, bool two_callers, std::vector<Injection> injection_list)
	: idempotent(idempotent_request), injections(std::move(injection_list))
{
	once_settings once = {500 * kMs, 3600 * kSecond};

	settings = {700 * kMs,	 5 * kSecond, 500 * kMs,    3 * kSecond, 4 * kSecond,
		    4 * kSecond, 100 * kMs,   10 * kSecond, kSecond,	 4};
	req_budget_init(&budget, 100, 0.2);
	for (int h = 0; h < 2; h++) {
		homes[h].world = this;
		once_init(&homes[h].once, &once, &kOnceOps, &homes[h]);
		HomeTick(this, h);
	}
	StartSession(0, false);
	if (two_callers)
		StartSession(1, false);
}

World::~World()
{
	for (auto &s : sessions)
		req_finish(&s->req);
	for (auto &h : homes)
		once_finish(&h.once);
}

/* Starts the caller's request at an entry host, or its repetition after an incomplete answer. */
int World::StartSession(int entry, bool repeated)
{
	auto s = std::make_unique<Session>();
	req_params params = {&settings,	 &budget, &first_est,	   &gap_est,
			     idempotent, false,	  now + kDeadline, 7};

	s->world = this;
	s->index = (int)sessions.size();
	s->entry = entry;
	s->idempotent = idempotent;
	s->request = "r" + std::to_string(s->index);
	req_init(&s->req, &params, &kReqOps, s.get());
	Session *started = s.get();
	sessions.push_back(std::move(s));
	(void)repeated;
	ToEntry(entry, kMs, [this, started]() {
		ReachStep(started->index, kAccepted);
		if (!entries[started->entry].dead)
			req_start(&started->req, now);
	});
	return started->index;
}

void World::AskHome(Session *s, unsigned attempt, bool supersede, const std::string &id, int home,
		    int tries)
{
	bool down = homes[home].dead || homes[home].frozen_until > now;

	ToHome(home, kMs, [=]() {
		std::string handle = s->request + "-" + std::to_string(attempt);
		std::string route = std::to_string(s->pipeline);
		std::string old;
		if (supersede)
			old = !s->winner_id.empty()  ? s->winner_id
			      : s->claims.size() > 1 ? s->claims[s->claims.size() - 2]
						     : "";
		once_claim claim = {(char *)"a/k",	    (char *)id.c_str(),
				    (char *)handle.c_str(), (char *)"e",
				    (char *)route.c_str(),  (char *)"d",
				    (char *)old.c_str()};
		once_on_claim(&homes[home].once, {(uint64_t)s->index, attempt}, &claim, now);
	});
	/* A lost home is detected by its silence; the claim is then sent to the other home. */
	if (down && tries < 2)
		ToEntry(s->entry, kSilenceLimit, [=]() {
			if (!s->finished && s->req.state == REQ_WAIT_CLAIM)
				AskHome(s, attempt, supersede, id, 1 - home, tries + 1);
		});
}

void World::Attach(std::shared_ptr<struct Run> run, Session *s, unsigned attempt, uint64_t from)
{
	run->listeners.push_back({s->index, attempt, false});
	size_t l = run->listeners.size() - 1;
	for (uint64_t i = from; i < run->next; i++)
		ToEntry(s->entry, kMs, [=]() {
			if (!s->finished && !run->listeners[l].muted)
				req_on_token(&s->req, attempt, i, "t", 1, now);
		});
	if (run->next == kTokens)
		ToEntry(s->entry, kMs, [=]() {
			if (!s->finished && !run->listeners[l].muted)
				req_on_end(&s->req, attempt, kTokens, now);
		});
}

/* Generates the next token of a run after 20 ms, or reports that the run failed. */
void World::Generate(std::shared_ptr<struct Run> run)
{
	const int64_t step = 20 * kMs * pipelines[run->pipeline].slow;

	ScheduleAfter(step, [=]() {
		const Pipeline &state = pipelines[run->pipeline];
		if (run->ended || run->next == kTokens)
			return;
		if (state.silent) {
			ScheduleAfter(50 * kMs, [=]() { Generate(run); });
			return;
		}
		bool dead = state.first_dead || state.later_dead;
		uint64_t index = run->next;
		if (dead)
			run->ended = run->failed = true;
		else
			run->next++;
		for (size_t i = 0; i < run->listeners.size(); i++) {
			Session *s = sessions[(size_t)run->listeners[i].session].get();
			unsigned attempt = run->listeners[i].attempt;
			bool first = state.first_dead;
			ToEntry(s->entry, kMs, [=]() {
				if (s->finished || run->listeners[i].muted)
					return;
				if (dead) {
					req_on_attempt_failed(&s->req, attempt,
							      first ? REQ_FAILURE_STREAM_LOST
								    : REQ_FAILURE_ENGINE,
							      std::to_string(run->pipeline).c_str(),
							      now);
					return;
				}
				req_on_token(&s->req, attempt, index, "t", 1, now);
				if (index + 1 == kTokens && !s->finished)
					req_on_end(&s->req, attempt, kTokens, now);
			});
		}
		Generate(run);
	});
}

void World::Join(Session *s)
{
	if (s->finished || s->req.state != REQ_JOINING)
		return;
	Session *winner =
		s->winner_session >= 0 ? sessions[(size_t)s->winner_session].get() : nullptr;
	if (!winner || entries[winner->entry].dead) {
		req_on_join_lost(&s->req, now);
		return;
	}
	if (entries[winner->entry].frozen_until > now && winner->entry != s->entry) {
		ToEntry(s->entry, kSilenceLimit, [=]() {
			if (!s->finished && s->req.state == REQ_JOINING)
				req_on_join_lost(&s->req, now);
		});
		return;
	}
	if (winner->finished)
		SendAnswer(winner, s->index);
	else
		winner->joiners.push_back(s->index);
}

void World::SendAnswer(Session *from, int to)
{
	Session *s = sessions[(size_t)to].get();
	bool never = !from->req.dispatched && req_code_info(from->code)->ran == REQ_RAN_NO;
	size_t n = from->received.size();
	req_code code = from->code;

	ToEntry(s->entry, kMs, [=]() {
		if (s->finished || s->req.state != REQ_JOINING)
			return;
		if (never) {
			req_on_join_not_dispatched(&s->req, now);
			return;
		}
		for (size_t i = 0; i < n; i++)
			req_on_token(&s->req, s->req.attempt, i, "t", 1, now);
		req_on_join_answer(&s->req, code, n, now);
	});
}

/*
 * Handles the end of a session: sends its answer to joined sessions, and starts a repetition at
 * another entry if the caller has no answer.
 */
void World::OnSessionEnd(Session *s)
{
	for (int j : s->joiners)
		SendAnswer(s, j);
	s->joiners.clear();
	if (s->code == REQ_OK || sessions.size() >= 4 || s->code == REQ_EUNKNOWN)
		return;
	int entry = entries[1].dead ? 0 : 1;
	ScheduleAfter(kSecond, [this, entry]() { StartSession(entry, true); });
}

void World::ReachStep(int session, Step step)
{
	if (session != 0)
		return;
	for (auto &i : injections) {
		if (i.done || i.step != step)
			continue;
		i.done = true;
		Inject(i.fault);
	}
}

void World::Inject(Fault fault)
{
	int p = sessions[0]->pipeline;

	switch (fault) {
	case kEntryDies:
		entries[0].dead = true;
		for (auto &run : runs) {
			if (!run->detached)
				run->ended = true;
		}
		for (auto &s : sessions) {
			std::vector<int> joiners = s->joiners;
			for (int j : joiners)
				ToEntry(sessions[(size_t)j]->entry, 5 * kMs, [this, j]() {
					Session *joiner = sessions[(size_t)j].get();
					if (!joiner->finished && joiner->req.state == REQ_JOINING)
						req_on_join_lost(&joiner->req, now);
				});
		}
		if (!sessions[0]->finished)
			ScheduleAfter(10 * kMs, [this]() { StartSession(1, true); });
		break;
	case kHomeDies:
		homes[0].dead = true;
		for (auto &s : sessions) {
			Session *started = s.get();
			if (started->finished || started->req.state != REQ_WAIT_CLAIM)
				continue;
			unsigned attempt = started->req.attempt;
			std::string id = started->claims.back();
			bool supersede = started->req.supersedes_claim;
			ToEntry(started->entry, 5 * kMs, [=]() {
				if (!started->finished && started->req.state == REQ_WAIT_CLAIM)
					AskHome(started, attempt, supersede, id, 1, 1);
			});
		}
		break;
	case kStageDies:
		pipelines[p].later_dead = true;
		break;
	case kFirstStageDies:
		pipelines[p].first_dead = true;
		break;
	case kStageSilent:
		pipelines[p].silent = true;
		break;
	case kLinkSlow:
		pipelines[p].slow = 10;
		break;
	case kConnectionSilent:
		for (auto &run : runs) {
			for (auto &l : run->listeners)
				l.muted = true;
		}
		break;
	case kLogOut:
		log_mode = kLogIsOut;
		break;
	case kLogSlow:
		log_mode = kLogIsSlow;
		break;
	case kAppendAnswerLost:
		log_mode = kLogLosesAnswer;
		break;
	case kEntryFrozen:
		entries[0].frozen_until = now + kFreezeTime;
		if (!sessions[0]->finished)
			ScheduleAfter(kSecond, [this]() { StartSession(1, true); });
		break;
	case kHomeFrozen:
		homes[0].frozen_until = now + kFreezeTime;
		break;
	case kHostListStale:
		entries[0].home = 1;
		break;
	case kOperatorChange:
		pipelines[p].drained = true;
		break;
	case kPlannedStop:
		entries[0].stopping = true;
		break;
	default:
		break;
	}
}

void World::Run()
{
	while (!events.empty() && events.top().when <= kEndOfSimulation) {
		Event e = events.top();
		events.pop();
		now = e.when;
		e.fn();
	}
}

/* Checks the invariants. Returns "" or a description of the violated one. */
std::string World::Check()
{
	std::map<std::string, int> runs_of;
	int under_key = 0;

	for (const auto &run : runs) {
		runs_of[run->request]++;
		under_key += run->key.empty() ? 0 : 1;
	}
	if (under_key > 1)
		return "a non-idempotent request ran " + std::to_string(under_key) + " times";
	for (const auto &s : sessions) {
		bool lost = entries[s->entry].dead;
		if (!s->finished && !lost)
			return "request " + s->request + " never ended, state " +
			       req_state_name(s->req.state);
		for (size_t i = 0; i < s->received.size(); i++) {
			if (s->received[i] != i)
				return "tokens out of order or duplicated in " + s->request;
		}
		if (!s->finished)
			continue;
		if (s->code == REQ_OK && s->received.size() != kTokens)
			return "an incomplete answer was reported as complete";
		if (req_code_info(s->code)->ran == REQ_RAN_NO && runs_of[s->request] > 0)
			return "reported as not run, but ran: " + s->request + " " +
			       req_code_info(s->code)->name;
	}
	return "";
}

/* Returns whether an idempotent request must succeed at its first entry despite the fault. */
bool MustSucceed(Fault fault)
{
	return fault != kEntryDies && fault != kFaults;
}

class Matrix : public ::testing::TestWithParam<bool>
{
};

TEST_P(Matrix, EveryFaultAtEveryStep)
{
	bool idempotent_request = GetParam();

	for (int second = 0; second < 2; second++) {
		for (int step = 0; step < kSteps; step++) {
			for (int fault = 0; fault < kFaults; fault++) {
				World w(idempotent_request, second != 0,
					{{(Step)step, (Fault)fault, false}});
				w.Run();
				EXPECT_EQ(w.Check(), "")
					<< kFaultNames[fault] << " at " << kStepNames[step]
					<< (second ? ", two callers at once" : "");
				if (!idempotent_request || !MustSucceed((Fault)fault))
					continue;
				EXPECT_EQ(req_code_info(w.sessions[0]->code)->name,
					  std::string("ok"))
					<< kFaultNames[fault] << " at " << kStepNames[step];
			}
		}
	}
}

TEST_P(Matrix, EveryPairOfFaults)
{
	bool idempotent_request = GetParam();
	int worlds = 0;

	for (int s1 = 0; s1 < kSteps; s1++) {
		for (int s2 = s1; s2 < kSteps; s2++) {
			for (int f1 = 0; f1 < kFaults; f1++) {
				for (int f2 = 0; f2 < kFaults; f2++) {
					World w(idempotent_request, (f1 + f2) % 2 != 0,
						{{(Step)s1, (Fault)f1, false},
						 {(Step)s2, (Fault)f2, false}});
					w.Run();
					worlds++;
					ASSERT_EQ(w.Check(), "")
						<< kFaultNames[f1] << " at " << kStepNames[s1]
						<< ", " << kFaultNames[f2] << " at "
						<< kStepNames[s2];
				}
			}
		}
	}
	EXPECT_EQ(worlds, kSteps * (kSteps + 1) / 2 * kFaults * kFaults);
}

INSTANTIATE_TEST_SUITE_P(Requests, Matrix, ::testing::Bool(),
			 [](const ::testing::TestParamInfo<bool> &info) {
				 return info.param ? "Repeatable" : "NonIdempotent";
			 });

/* Prints the tables for docs/PROOF.md: the end of the first caller's request in each case. */
TEST(MatrixTable, Print)
{
	FILE *out = getenv("BG_MATRIX") ? stdout : fopen("/dev/null", "w");

	ASSERT_NE(out, nullptr);
	for (int idempotent_request = 1; idempotent_request >= 0; idempotent_request--) {
		fprintf(out, "\n%s\n\n| fault |",
			idempotent_request ? "Repeatable requests" : "Non-idempotent requests");
		for (const char *name : kStepNames)
			fprintf(out, " %s |", name);
		fprintf(out, "\n|---|");
		for (int s = 0; s < kSteps; s++)
			fprintf(out, "---|");
		fprintf(out, "\n");
		for (int fault = 0; fault < kFaults; fault++) {
			fprintf(out, "| %s |", kFaultNames[fault]);
			for (int step = 0; step < kSteps; step++) {
				World w(idempotent_request, false,
					{{(Step)step, (Fault)fault, false}});
				w.Run();
				bool reached = w.injections[0].done;
				const auto &s = w.sessions[0];
				std::string end =
					s->finished ? req_code_info(s->code)->name : "cut off";
				if (w.sessions.size() > 1 && w.sessions.back()->finished)
					end += std::string(", again: ") +
					       req_code_info(w.sessions.back()->code)->name;
				if (!w.Check().empty())
					end = "BROKEN";
				EXPECT_NE(end, "BROKEN");
				fprintf(out, " %s |", reached ? end.c_str() : "n/a");
			}
			fprintf(out, "\n");
		}
	}
}

} // namespace
