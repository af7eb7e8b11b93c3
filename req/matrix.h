#ifndef REQ_MATRIX_H
#define REQ_MATRIX_H

#include "once/once.h"
#include "req/req.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

/*
 * Simulated hosts and engines for the fault matrix of the request state machine (req) and the
 * claims (once): a discrete-event simulation with its own clock, in which faults are injected at
 * the steps of the first request.
 */
namespace matrix
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

inline const char *const kStepNames[kSteps] = {
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

inline const char *const kFaultNames[kFaults] = {
	"entry dies",	   "home dies",		 "stage dies",	      "first stage dies",
	"stage silent",	   "link slow",		 "connection silent", "log out",
	"log slow",	   "append answer lost", "entry frozen",      "home frozen",
	"host list stale", "operator change",	 "planned stop"};

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

/* Callbacks of the requests and of the homes of claims; see matrix_ops_test.cc. */
extern const req_ops kReqOps;
extern const once_ops kOnceOps;

/* Runs the periodic work of a home, and schedules the next one. */
void HomeTick(World *w, int home);

} // namespace matrix

#endif
