#include "lead/lead.h"

#include <algorithm>
#include <array>
#include <deque>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace
{

TEST(LeadTest, TheLeaseTimeCountsFromWhenTheJoinWasSent)
{
	lead l;
	lead_init(&l, 4);
	EXPECT_FALSE(lead_may_send_orders(&l, 10));
	lead_on_join_sent(&l, 10);
	EXPECT_FALSE(lead_may_send_orders(&l, 11));
	EXPECT_TRUE(lead_on_join_answered(&l, 7, true));
	EXPECT_TRUE(lead_may_send_orders(&l, 13));
	EXPECT_FALSE(lead_may_send_orders(&l, 14));
}

/*
 * Symptom: a host sent orders with a fencing number that was assigned to another leader.
 * Sequence: it leads with number 7, and another host reports number 8 before its own next join.
 * Cause: the highest known number was used together with the lease of a lower one.
 */
TEST(LeadTest, ANewerGenerationEndsTheLease)
{
	lead l;
	lead_init(&l, 4);
	lead_on_join_sent(&l, 10);
	lead_on_join_answered(&l, 7, true);
	lead_on_fence_reported(&l, 8);
	EXPECT_FALSE(lead_may_send_orders(&l, 11));
	lead_on_join_sent(&l, 11);
	lead_on_join_answered(&l, 8, true);
	EXPECT_TRUE(lead_may_send_orders(&l, 12));
}

/*
 * Symptom: a host whose order was refused kept sending orders with the same fencing number.
 * Sequence: an engine refuses the order, since it has seen a higher number.
 * Cause: the refusal affected only that order.
 */
TEST(LeadTest, ARefusedHostSendsNoOrdersUntilItHasAHigherNumber)
{
	lead l;
	lead_init(&l, 4);
	lead_on_join_sent(&l, 10);
	lead_on_join_answered(&l, 7, true);
	lead_on_order_refused(&l, 7);
	EXPECT_FALSE(lead_may_send_orders(&l, 11));
	lead_on_join_sent(&l, 11);
	lead_on_join_answered(&l, 7, true);
	EXPECT_FALSE(lead_may_send_orders(&l, 12));
	lead_on_join_answered(&l, 9, true);
	EXPECT_TRUE(lead_may_send_orders(&l, 12));
}

TEST(LeadTest, AHostThatLeftTheGroupSendsNoOrders)
{
	lead l;
	lead_init(&l, 4);
	lead_on_join_sent(&l, 10);
	lead_on_join_answered(&l, 7, true);
	lead_on_group_left(&l);
	EXPECT_FALSE(lead_may_send_orders(&l, 11));
}

/*
 * An exhaustive search over all states of two hosts and the store. In each tick each host may run
 * or be suspended; it may send a join or not; the join may be lost, or reach the store in this tick
 * or a later one; the answer may be lost or late. The store gives the lease to the other host once
 * no join of the holder has arrived for the time to live. Times are stored as ages in ticks, so
 * that the number of states is finite.
 */
constexpr int TTL = 6;		  /* time to live of a lease, in ticks */
constexpr int AGE_MAX = TTL + 2;  /* largest age that is distinguished, in ticks */
constexpr int JOIN_TICKS_MAX = 2; /* longest time that a join is on its way, in ticks */

struct Message {
	bool in_transit; /* whether there is a message */
	bool answer;	 /* true for the store's answer, false for a join */
	int ticks;	 /* time for which the message has been on its way, in ticks */
	int age;	 /* time since the join was sent, in ticks */
	bool leads;	 /* whether the answer gives the lease to the host */
	bool current;	 /* whether the answer's generation is still the store's */
};

struct HostState {
	bool leads;   /* whether the last answer gave the lease to the host */
	bool current; /* whether the host's generation is still the store's */
	int age;      /* time since the last answered join was sent, in ticks */
	Message message;
};

struct World {
	std::array<HostState, 2> hosts;
	std::array<int, 2> join_age; /* ticks since a join of the host reached the store */
	int holder;		     /* index of the host that holds the lease; -1 if none */

	std::vector<int> Key() const
	{
		std::vector<int> key{holder};
		for (int i = 0; i < 2; i++) {
			const HostState &h = hosts[(size_t)i];
			const Message &m = h.message;
			key.insert(key.end(),
				   {h.leads, h.current, h.age, join_age[(size_t)i], m.in_transit});
			if (m.in_transit)
				key.insert(key.end(),
					   {m.answer, m.ticks, m.age, m.leads, m.current});
		}
		return key;
	}
};

/* Converts a host's state in the model to the state of the module at time now. */
lead AsLead(const HostState &h, int64_t now)
{
	lead l;
	lead_init(&l, TTL);
	lead_on_join_sent(&l, now - h.age);
	lead_on_join_answered(&l, h.current ? 2 : 1, h.leads);
	return l;
}

void ExpireLease(World &w)
{
	if (w.holder >= 0 && w.join_age[(size_t)w.holder] > TTL)
		w.holder = -1;
}

/* Delivers a host's join to the store and creates the answer. */
void DeliverJoin(World &w, size_t host)
{
	Message &m = w.hosts[host].message;
	w.join_age[host] = 0;
	ExpireLease(w);
	if (w.holder < 0) {
		w.holder = (int)host;
		for (HostState &h : w.hosts) {
			h.current = false;
			h.message.current = false;
		}
	}
	m.answer = true;
	m.ticks = 0;
	m.leads = w.holder == (int)host;
	m.current = true;
}

/* Delivers an answer. from_answer: count the lease from the answer, as a fault to be found. */
void DeliverAnswer(World &w, size_t host, bool from_answer)
{
	HostState &h = w.hosts[host];
	int64_t now = 1000;
	lead l = AsLead(h, now);
	lead_on_join_sent(&l, from_answer ? now : now - h.message.age);
	lead_on_join_answered(&l, h.message.current ? 2 : 1, h.message.leads);
	h.leads = l.leads;
	h.current = h.message.current;
	h.age = (int)(now - l.joined_us);
	h.message = Message{};
}

/* Returns all states that one host may reach in a tick. */
std::vector<World> NextWorlds(const World &w, size_t host, bool from_answer)
{
	std::vector<World> all{w}; /* the host is suspended, or nothing happens */
	const Message &m = w.hosts[host].message;
	if (!m.in_transit) {
		World sent = w;
		sent.hosts[host].message = Message{true, false, 0, 0, false, false};
		all.push_back(sent);
		return all;
	}
	World lost = w;
	lost.hosts[host].message = Message{};
	all.push_back(lost);
	World there = w;
	if (m.answer)
		DeliverAnswer(there, host, from_answer);
	else
		DeliverJoin(there, host);
	all.push_back(there);
	return all;
}

/* Advances the time by one tick. Returns false if a join would be on its way for too long. */
bool AdvanceTime(World &w)
{
	for (size_t i = 0; i < 2; i++) {
		HostState &h = w.hosts[i];
		h.age = std::min(h.age + 1, AGE_MAX);
		w.join_age[i] = std::min(w.join_age[i] + 1, AGE_MAX);
		if (!h.message.in_transit)
			continue;
		h.message.age = std::min(h.message.age + 1, AGE_MAX);
		if (++h.message.ticks > JOIN_TICKS_MAX && !h.message.answer)
			return false;
		h.message.ticks = std::min(h.message.ticks, JOIN_TICKS_MAX + 1);
	}
	ExpireLease(w);
	return true;
}

struct Found {
	size_t states = 0;
	size_t both = 0; /* number of states in which both hosts may send orders */
	size_t one = 0;	 /* states in which exactly one host may send orders */
};

Found Search(bool from_answer)
{
	World first{};
	for (size_t i = 0; i < 2; i++) {
		first.hosts[i].age = AGE_MAX;
		first.join_age[i] = AGE_MAX;
	}
	first.holder = -1;
	std::set<std::vector<int>> seen{first.Key()};
	std::deque<World> open{first};
	Found found;
	while (!open.empty()) {
		World w = open.front();
		open.pop_front();
		found.states++;
		int may_order = 0;
		for (const HostState &h : w.hosts) {
			lead l = AsLead(h, 1000);
			may_order += lead_may_send_orders(&l, 1000);
		}
		found.both += may_order == 2;
		found.one += may_order == 1;
		for (const World &a : NextWorlds(w, 0, from_answer)) {
			for (World b : NextWorlds(a, 1, from_answer)) {
				if (AdvanceTime(b) && seen.insert(b.Key()).second)
					open.push_back(b);
			}
		}
	}
	return found;
}

TEST(LeadModelTest, TwoHostsNeverSendOrdersAtOnce)
{
	Found found = Search(false);
	printf("lease: %zu states, one host may order in %zu, both in %zu\n", found.states,
	       found.one, found.both);
	EXPECT_GT(found.one, 100u);
	EXPECT_EQ(found.both, 0u);
}

/*
 * Symptom: two hosts sent orders to engines at once. Sequence: a join is answered, the host is
 * suspended before it reads the answer, the store gives the lease to another host, and the first
 * one resumes. Cause: the lease was counted from when the answer was read. The search must find
 * this.
 */
TEST(LeadModelTest, TheSearchFindsTheFaultOfALeaseCountedFromTheAnswer)
{
	EXPECT_GT(Search(true).both, 0u);
}

} // namespace
