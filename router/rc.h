#ifndef ROUTER_RC_H
#define ROUTER_RC_H

#include "base/frm.h"
#include "era/era.h"
#include "lead/lead.h"
#include "router/quarantine.h"
#include "router/heard.h"
#include "router/host_news.h"
#include "router/limits.h"
#include "router/rank.h"
#include "router/router.h"
#include "router/store_call.h"

/*
 * The control thread. What the store holds reaches a host in one of two ways: a few hosts, the
 * readers, read it themselves (store_follow.c); all others follow a reader (follow.c), which feeds
 * them (feed.c). Each host has a feed from one reader, readers too, so a host that the store turns
 * away goes on with that; a host without a good feed reads by itself.
 */

/* One topic of the store as it is followed. */
struct sf_topic {
	struct rc *rc;
	enum seam_topic topic;
	int64_t next;	  /* place to read from; -1: the whole listing is read next */
	int64_t end;	  /* place at which the reading goes on after that listing */
	int64_t wait_ms;  /* that the store may hold a read until a record comes; 0: none */
	int64_t pause_us; /* between two reads */
	struct store_call *call;
	struct tmr timer;
	char *after;	 /* key after which a listing goes on */
	int reads;	 /* after the listing */
	int failures;	 /* in a row */
	int64_t read_us; /* when it was last read with success; 0: never */
};

/* A host of this system, as it lists itself in the store. */
struct rc_host {
	char *addr;	 /* of its control thread */
	double capacity; /* Mbit/s of its link x cores; hosts differ tenfold */
	char *zone;	 /* its availability zone; "": not told */
};

struct rc {
	struct router *router;
	struct loop *loop;
	struct hc *hc;
	GHashTable *store_calls; /* struct store_call, those under way */
	struct era era;		 /* of the store */
	int64_t start_us;	 /* when the process started */
	struct rt_conf *conf;
	int64_t conf_place;	 /* of its record; ERA_NONE: not known */
	GByteArray *conf_packed; /* its text, deflated, for handing it on */
	gsize conf_len;		 /* of the text */
	struct router_origin conf_origin;
	struct ep_list endpoints;
	bool listed;				/* the endpoints have been read whole once */
	bool hosts_heard;			/* so have the hosts */
	GHashTable *hosts;			/* name -> struct rc_host */
	struct hn host_news;			/* what followers are told of them */
	struct sf_topic topics[SEAM_HOSTS + 1]; /* that are followed */
	bool direct;				/* this host reads the store itself */
	bool settled;	  /* it has had the time to find a host that feeds it */
	bool candidate;	  /* it may lead: it is a reader, or has no feed */
	struct rank rank; /* as of the last tick */
	struct rank_round round;
	struct tmr ticker;
	struct tmr list_timer;
	struct hosts *hostlist;
	int64_t listed_self_us;	 /* when this host last wrote itself into the list of hosts */
	int64_t listed_self_era; /* of the store, as it was known then */
	bool list_failed;	 /* that write failed */
	bool feed_lacks_self;	 /* the list that the feed brought is without this host */
	struct lead lead;	 /* whether this host places layers */
	int64_t left_us;	 /* when it last left the group of those that may; 0: never */
	struct store_call *join;
	struct tmr join_timer;
	struct placer *placer;
	struct poll *poll;
	struct feed *feed;
	struct follow *follow;
	struct recall *recall;
	struct quarantine *quarantine;
	struct limits *limits;
	GHashTable *seen; /* incarnation of an endpoint -> when it was last passed on as suspect,
			     int64_t */
	GHashTable *
		dead; /* incarnation of an endpoint -> until when it is taken to be dead, int64_t */
	double hints; /* of rests that may be handed on now; heard.c */
	int64_t hints_us;	/* when that was last brought up to date */
	GHashTable *rests;	/* incarnation -> until when it wants nothing, int64_t; heard.c */
	GHashTable *unreadable; /* endpoint -> why its entry can't be read, as last logged */
	GArray *loads;		/* struct router_load, as last heard */
	guint loads_version;
	int64_t loads_us;   /* when they were last handed on */
	GHashTable *polled; /* incarnation -> struct router_load, as this host heard it last */
	int64_t fed_us;	    /* when this host last had a feed; 0: never */
	int64_t fresh_us;   /* when the store was last reached, by this host or its feeder; 0: never
			     */
	int64_t fresh_told_us; /* when the traffic thread was last told that */
	bool view_due;
	bool view_whole; /* a view with configuration and endpoints has been posted */
	bool stopping;
};

/* store_follow.c: reading the store. */
void sf_start(struct rc *rc);
void sf_stop(struct rc *rc);

/* The store came back from a copy: all that is followed is listed anew. */
void sf_on_return(struct rc *rc);

/* Whether the last read of configuration and endpoints succeeded. */
bool sf_is_reached(const struct rc *rc);

/* rc.c */
/*
 * An answer of the store, or another host, tells the store's era; "from" is for the log. If it is a
 * new one, all that came from the store is read anew, and what this host wrote is written again.
 */
enum era_news rc_hear_era(struct rc *rc, int64_t era, const char *from);

/* The store's era as messages between hosts carry it, where 0 is what is not told. */
int64_t rc_era_for_msg(const struct rc *rc);
int64_t rc_era_of_msg(int64_t told);

void rc_view_due(struct rc *rc);

/* Posts the view at once if it is the first one that requests can be served by. */
void rc_first_view(struct rc *rc);

/* Take what the store, or another host, says; "from" is for the log. Older news change nothing. */
void rc_take_conf(struct rc *rc, int64_t place, struct str text, const char *from);
void rc_take_endpoint(struct rc *rc, int64_t place, const char *id, struct str text);
/* Returns whether that changed the list of hosts. */
bool rc_take_host(struct rc *rc, const char *name, struct str text);

/* What rc_take_host() reads. */
char *rc_host_text(const struct rc_host *host);

/* The list of hosts is whole, as far as is known. */
void rc_on_hosts_heard(struct rc *rc);

/* Reads the store from now on, or leaves that to the feed. */
void rc_set_direct(struct rc *rc, bool direct);

/*
 * For how long news of endpoints may wait, so that more of them are read or handed on together: a
 * part of what an endpoint's leaving may take beyond two seconds, within which they don't wait.
 */
int64_t rc_endpoints_slack_ms(const struct rc *rc);

/* Whether this host asks all engines for their reports. */
bool rc_polls(const struct rc *rc);

/*
 * hosts.c: the list of hosts in the store. When the store came back from a copy, hosts that have
 * listed themselves since are missing there and hosts that have left are back: hosts that start
 * later would not know the first, and count and ask the others. So the first reader compares the
 * copy with what it knows, and writes the difference.
 */
struct hosts *hosts_new(struct rc *rc);
void hosts_free(struct hosts *hosts);
void hosts_on_return(struct hosts *hosts);
void hosts_on_tick(struct hosts *hosts, int64_t now_us);

/* What the store says: a whole listing, record by record between the two; later single records. */
void hosts_on_listing(struct hosts *hosts);
void hosts_on_record(struct hosts *hosts, const char *name, struct str text);
void hosts_on_listed(struct hosts *hosts);

/*
 * A host that this one feeds tells of itself, or of one that it feeds itself. It may not be in the
 * store's list yet. What is news goes on up to the first reader, which writes it there.
 */
void hosts_on_asked(struct hosts *hosts, const char *name, const struct rc_host *host);

/* The same once more for all such hosts; after this host has found a feed. */
void hosts_tell_feeder(const struct hosts *hosts);

/* member.c: this host in the store's list of hosts, and in the group that has a leader. */
void member_start(struct rc *rc);

/* Where other hosts reach this one's control thread, and what it can bear. */
const char *member_addr(const struct router_settings *s);
double member_capacity(const struct router_settings *s);

/* The list of hosts is known: this host puts itself there unless it already is. */
void member_on_hosts(struct rc *rc);
void member_stop(struct rc *rc);

/* Whether this host may give orders now. */
bool member_may_order(const struct rc *rc);

/* Another host knows that fencing number; this one asks whether it still leads. */
void member_on_fence(struct rc *rc, int64_t fence);

/* The store came back from a copy: who leads is asked anew. */
void member_on_return(struct rc *rc);

/*
 * Takes part in choosing a leader from now on, or not. A host that has just started and will follow
 * another one soon does not: the lead would go to it and be lost with it.
 */
void member_set_candidate(struct rc *rc, bool candidate);

/* loads.c: what engines reported, from this host's polling or from another host. */
GArray *loads_new(void);

/* Takes the newest loads (struct router_load) and hands them on; the array is taken over. */
void loads_take(struct rc *rc, GArray *loads);

/* Of a struct router_load that was made by itself. */
void loads_free(gpointer load);

/* Reports of a round of this host's own, of which only what is new is handed on; taken over. */
void loads_take_round(struct rc *rc, GArray *loads);

/* suspect.c: endpoints at fault, told from host to host; feeds carry that both ways. */

/* Why an engine is at fault that the polling reader got no report from. */
#define SUSPECT_NO_REPORT "no_report_to_reader"

/*
 * Why one may be at fault that did not answer one host while others did. That host may be cut off
 * from it, so others look for themselves.
 */
#define SUSPECT_NO_ANSWER "no_answer"

/* Why one is at fault whose process has ended: connections to it are refused. */
#define SUSPECT_ENDED "ended"

/* Why one is at fault whose report is of a later incarnation than its entry. */
#define SUSPECT_RESTARTED "restarted"

/* Not a fault: it wants nothing of some host for a while, so others had better go elsewhere. */
#define SUSPECT_RESTS "rests_elsewhere"

/* Not a fault: what the endpoint says itself. It is not chosen; what runs there goes on. */
#define SUSPECT_LEAVING "leaving"

enum {
	/* Follower, its relay, its reader, the other readers, their relays, their followers. */
	SUSPECT_HOPS_MAX = 7
};

struct suspect {
	const char *endpoint; /* its incarnation */
	int64_t for_ms;
	const char *why;
	int hops; /* hosts that passed it on */
};

/* From this host's traffic thread. Any thread. */
void suspect_post(struct rc *rc, const char *endpoint, int64_t for_ms, const char *why);

/* From another host, or from the polling: to the traffic thread, and on to the other hosts. */
void suspect_on_news(struct rc *rc, const struct suspect *suspect, const void *source);

/* Whether no reader could reach the endpoint lately. */
bool suspect_is_dead(const struct rc *rc, const char *endpoint, int64_t now_us);

/* The message; 0 or BASE_EFRAME. */
int suspect_on_msg(struct rc *rc, struct frm_conn *conn, const uint8_t *body, size_t len);
void suspect_send(struct frm_conn *conn, const struct suspect *suspect);

/* state.c: counts of the control thread for the metrics. */
void state_gauges(const struct rc *rc, int64_t now_us);

/*
 * recall.c: the endpoints, noted in the store. While the store is away their entries lapse; hosts
 * that start then know nobody until all have registered again, two seconds after its return, and
 * refuse everything. So the first reader notes the list when it has changed, and a host that has
 * seen the store away takes from the note what its list lacks, for those two seconds.
 */
struct recall *recall_new(struct rc *rc);
void recall_free(struct recall *recall);
void recall_on_tick(struct recall *recall, int64_t now_us);

/*
 * The list was read from the store. Returns whether it is to be completed first: the few endpoints
 * that have registered so far would get all that waits on all hosts.
 */
bool recall_on_listed(struct recall *recall);

/* The store came back from a copy, which may lack the note. */
void recall_on_return(struct recall *recall);

/* Whether this host has noted the list as it is now. */
bool recall_is_noted(const struct recall *recall);

/* placer.c */
struct placer *placer_new(struct rc *rc);
void placer_free(struct placer *placer);
void placer_on_tick(struct placer *placer, int64_t now_us);

/* Endpoints or the configuration have changed. */
void placer_on_change(struct placer *placer);

/* poll.c: one host asks all engines for their load. */
struct poll *poll_new(struct rc *rc);
void poll_free(struct poll *poll);
void poll_on_tick(struct poll *poll, int64_t now_us);

/* What this host knows of itself, for rank_reads() and rank_may_feed(). */
void rc_rank_host(const struct rc *rc, struct rank_host *host);

/* feed.c: feeding other hosts. */
struct feed *feed_new(struct rc *rc);
void feed_free(struct feed *feed);
void feed_on_record(struct feed *feed, int64_t place, const char *id, struct str text);

/* The whole list has been read anew, or changed without a record. */
void feed_on_listing(struct feed *feed);

/* What followers are told of endpoints. */
struct fp *feed_pack(struct feed *feed);

/* Sends every follower what it does not have yet. */
void feed_flush(struct feed *feed);

/* Calls fn for the connection of each follower but source, from which the news came. */
typedef void (*feed_conn_fn)(void *ctx, struct frm_conn *conn);
void feed_each(struct feed *feed, const void *source, feed_conn_fn fn, void *ctx);

/* follow.c: being fed by another host. */
struct follow *follow_new(struct rc *rc);
void follow_free(struct follow *follow);
void follow_on_tick(struct follow *follow, int64_t now_us);
void follow_on_hosts(struct follow *follow);

/* Whether the feed brings what the store holds now. */
bool follow_is_fed(const struct follow *follow);

/* Tells the host that feeds this one of another host. */
void follow_tell_host(struct follow *follow, const char *name, const struct rc_host *host);

/* The host that feeds this one, or NULL. */
const char *follow_feeder(const struct follow *follow);

/* The same for the connection to the feeder. */
void follow_each(struct follow *follow, const void *source, feed_conn_fn fn, void *ctx);

/* The host that all choose for the key, as far as they have found the same hosts silent. */
const struct host *follow_home(const struct follow *follow, const char *key);

/* How another host answered. */
void follow_on_evidence(struct follow *follow, const char *host, enum host_evidence evidence);

#endif
