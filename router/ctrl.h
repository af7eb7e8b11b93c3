#ifndef ROUTER_CTRL_H
#define ROUTER_CTRL_H

#include "base/frm.h"
#include "era/era.h"
#include "lead/lead.h"
#include "router/quarantine.h"
#include "router/notice.h"
#include "router/host_delta.h"
#include "router/limits.h"
#include "router/rank.h"
#include "router/router.h"
#include "router/store_call.h"
#include "router/way.h"

/*
 * The control thread. The data of the store reaches a host in one of two ways: a few hosts, the
 * readers, read the store themselves (store_reader.c); all others connect to a reader (follow.c),
 * which sends them its data (feed.c). This connection is called a feed; the host that sends is the
 * feeder, the host that receives is a follower. Every host has a feed from one reader, readers
 * included, so that a host which the store rejects goes on with its feed. A host without a working
 * feed reads the store itself.
 *
 * A place is a position in a log of the store together with the era of the store, see era/era.h.
 * An incarnation is the id of an endpoint together with its start time, see ep/ep.h. Times whose
 * names end in _us are microseconds of the monotonic clock.
 */

/* Reading of one topic of the store. */
struct reader_topic {
	struct ctrl *ctrl;
	enum seam_topic topic;
	int64_t next; /* Place of the next record to read; -1 to read a full listing next */
	int64_t end;  /* Place from which records are read after the listing in progress */
	/* Time that the store may hold a read until a record arrives, in milliseconds; 0 if none */
	int64_t wait_ms;
	int64_t pause_us;	 /* Pause between two reads, in microseconds */
	struct store_call *call; /* Call in progress; NULL if none */
	struct tmr timer;	 /* Timer of the next call */
	char *after;	 /* Last key of the previous page of the listing; NULL at its first page */
	int reads;	 /* Number of successful reads of records, not counting listings */
	int failures;	 /* Number of consecutive failed calls */
	int64_t read_us; /* Time of the last successful call, in microseconds; 0 if none */
};

/* A host of this system, as in its entry in the store's list of hosts. */
struct ctrl_host {
	char *addr;	 /* Address of its control thread */
	double capacity; /* Bandwidth of its link in Mbit/s times its number of cores */
	char *zone;	 /* Availability zone; "" if not stated */
};

/* State of the control thread. */
struct ctrl {
	struct router *router;
	struct loop *loop;
	struct hc *hc;		 /* HTTP client for calls to the store and to engines */
	struct way *way;	 /* calls to engines, directly or through other hosts */
	GPtrArray *gateways;	 /* Hosts that may open tunnels (struct gws_host) */
	guint gateways_version;	 /* Number of the change of the list of hosts they are from */
	int64_t gateways_us;	 /* Time at which they were selected, in microseconds; 0 if never */
	GHashTable *store_calls; /* Set of the calls to the store in progress: struct store_call */
	struct era era;		 /* Newest known era of the store */
	int64_t start_us;	 /* Start time of the process, in microseconds */
	struct rt_conf *conf;	 /* Configuration in force; NULL if none */
	int64_t conf_place;	 /* Place of the configuration's record; ERA_NONE if unknown */
	GByteArray *conf_deflated;	  /* Deflated text of the configuration, for followers */
	gsize conf_len;			  /* Length of that text before it was deflated, in bytes */
	struct router_origin conf_origin; /* Digest and source of the configuration */
	struct ep_list endpoints;	  /* Endpoints of the system */
	bool listed;		    /* Whether the list of endpoints has been read completely */
	bool hosts_known;	    /* Whether the list of hosts has been read completely */
	GHashTable *hosts;	    /* Host name -> struct ctrl_host */
	struct hdelta host_changes; /* Numbered changes of the list of hosts, for followers */
	struct reader_topic
		topics[SEAM_TOPIC_HOSTS + 1]; /* Topics that are read, by enum seam_topic */
	bool direct;			      /* Whether this host reads the store itself */
	bool settled;			      /* Whether the time to find a first feeder is over */
	/* Whether this host may become leader, as a reader or as a host without a feed */
	bool candidate;
	struct rank rank;	     /* Role of this host and its feeder, as of the last tick */
	struct rank_round round;     /* Newest known round of load reports */
	struct tmr tick_timer;	     /* Timer of the next tick */
	struct tmr self_entry_timer; /* Timer for this host's own entry in the list of hosts */
	struct hosts *host_list;     /* Maintenance of the store's list of hosts */
	/* Time at which this host last wrote its own entry, in microseconds; 0 if never */
	int64_t self_entry_us;
	int64_t self_entry_era; /* Era of the store when that entry was written */
	bool self_entry_failed; /* Whether that write failed */
	bool feed_lacks_self;	/* Whether the list of hosts from the feed lacks this host */
	struct lead lead;	/* Lease of the lead; its holder sends orders to engines */
	/* Time at which this host last left the group, in microseconds; 0 if never */
	int64_t left_us;
	struct store_call *join; /* Call that joins the group of candidates; NULL if none */
	struct tmr join_timer;	 /* Timer of the next such call */
	struct placer *placer;
	struct poll *poll;
	struct feed *feed;
	struct follow *follow;
	struct recall *recall;
	struct quarantine *quarantine;
	struct limits *limits;
	/* Incarnation -> when suspicions of it were last passed on (struct wt_told) */
	GHashTable *suspect_told;
	/* Incarnation -> time until which the endpoint is regarded as dead, in us (int64_t) */
	GHashTable *dead;
	double hints_allowed; /* Number of back-off hints that may be forwarded now; see notice.h */
	int64_t hints_refill_us; /* Time at which hints_allowed was last updated, in microseconds */
	/* Incarnation -> end of the back-off that the endpoint requested, in us (int64_t) */
	GHashTable *backoff_until;
	GHashTable *unreadable; /* Endpoint id -> parse error of its entry, as last logged */
	GArray *loads;		/* Newest load reports (struct router_load) */
	guint loads_version;	/* Incremented with each change of loads */
	int64_t loads_us; /* Time at which loads last changed and were passed on, in microseconds */
	/* Incarnation -> last report that this host's own polling got (struct router_load) */
	GHashTable *polled_loads;
	/* Last time at which this host had a feed, in microseconds; 0 if never */
	int64_t last_fed_us;
	/*
	 * Last time at which this host or its feeder had contact with the store, in microseconds; 0
	 * if never
	 */
	int64_t synced_us;
	/* Time at which synced_us was last posted, in microseconds; 0 if never */
	int64_t synced_posted_us;
	bool view_pending;  /* Whether the next tick posts a new view */
	bool view_complete; /* Whether the last view had a configuration and complete lists */
	bool stopping;	    /* Whether the process has been asked to stop */
};

/* store_reader.c: reading the store. */
void reader_start(struct ctrl *ctrl);
void reader_stop(struct ctrl *ctrl);

/* Starts full listings of all topics, after the store was restored from an older copy. */
void reader_on_store_restored(struct ctrl *ctrl);

/* Whether this host reads the store and its last reads of configuration and endpoints succeeded. */
bool reader_is_current(const struct ctrl *ctrl);

/* ctrl.c: state that the modules of the control thread share, and its views. */

/*
 * Processes the era of the store that an answer of the store or a message of another host states;
 * "from" names the source in the log. On a change of era all data is read from the store again and
 * this host's own entries are written again.
 */
enum era_change ctrl_on_era(struct ctrl *ctrl, int64_t era, const char *from);

/*
 * Converts the era of the store to its encoding in messages between hosts, and back. The encoding
 * is the era plus one; 0 means that the era is unknown.
 */
int64_t ctrl_era_to_msg(const struct ctrl *ctrl);
int64_t ctrl_era_from_msg(int64_t encoded);

/* Schedules a new view for the next tick. */
void ctrl_schedule_view(struct ctrl *ctrl);

/* Whether the lists of endpoints and hosts are complete. */
bool ctrl_lists_complete(const struct ctrl *ctrl);

/* Posts the view immediately if it is the first one with which requests can be served. */
void ctrl_post_first_view(struct ctrl *ctrl);

/*
 * Apply a record of the store that was read here or received from another host; "from" names the
 * source in the log. Records older than the known ones are ignored.
 */
void ctrl_apply_conf(struct ctrl *ctrl, int64_t place, struct str text, const char *from);
void ctrl_apply_endpoint(struct ctrl *ctrl, int64_t place, const char *id, struct str text);
/* Returns whether the list of hosts has changed. */
bool ctrl_apply_host(struct ctrl *ctrl, const char *name, struct str text);

/* Formats an entry of the list of hosts, for ctrl_apply_host(). Free with g_free(). */
char *ctrl_host_format(const struct ctrl_host *host);

/* Called when the list of hosts has been read completely, as far as this host can know. */
void ctrl_on_hosts_known(struct ctrl *ctrl);

/* Starts or stops reading the store on this host. */
void ctrl_set_store_reading(struct ctrl *ctrl, bool direct);

/*
 * Returns how long changes of endpoints may be delayed so that several are read or sent together,
 * in milliseconds: a part of the time by which drain_ms exceeds two seconds, else 0.
 */
int64_t ctrl_endpoints_delay_ms(const struct ctrl *ctrl);

/* Whether this host polls all engines for their load reports. */
bool ctrl_polls_engines(const struct ctrl *ctrl);

/*
 * hosts.c: the list of hosts in the store. After the store was restored from an older copy, its
 * list lacks hosts that were added since and contains hosts that were removed since. Hosts that
 * start later would not know the former, and would count and contact the latter. So the first
 * reader compares the restored list with the list it knows and writes the differences.
 */
struct hosts *hosts_new(struct ctrl *ctrl);
void hosts_free(struct hosts *hosts);
void hosts_on_store_restored(struct hosts *hosts);
void hosts_on_tick(struct hosts *hosts, int64_t now_us);

/*
 * Process the list as read from the store: hosts_on_listing_begin() begins a full listing,
 * hosts_on_record() processes one record, hosts_on_listing_end() ends the listing. Records that are
 * read one by one later also go to hosts_on_record().
 */
void hosts_on_listing_begin(struct hosts *hosts);
void hosts_on_record(struct hosts *hosts, const char *name, struct str text);
void hosts_on_listing_end(struct hosts *hosts);

/*
 * Processes the announcement of a host by a follower: the follower itself or one of its own
 * followers. The store's list may not contain it yet. New hosts are announced to the feeder in
 * turn, up to the first reader, which writes them to the store.
 */
void hosts_on_announced(struct hosts *hosts, const char *name, const struct ctrl_host *host);

/* Announces all hosts that the store's list lacks to the feeder, after a new feed was opened. */
void hosts_announce_to_feeder(const struct hosts *hosts);

/*
 * member.c: this host's entry in the list of hosts, and its membership in the group of hosts from
 * which the store chooses a leader.
 */
void member_start(struct ctrl *ctrl);

/* Returns the address at which other hosts reach this host's control thread. */
const char *member_control_addr(const struct router_settings *s);

/* Returns the capacity of this host: bandwidth of its link in Mbit/s times its cores. */
double member_capacity(const struct router_settings *s);

/* Called when the list of hosts is known: adds this host to it unless it is there already. */
void member_on_host_list(struct ctrl *ctrl);

/* Leaves the group and removes this host from the list of hosts. */
void member_stop(struct ctrl *ctrl);

/* Whether this host holds the lead now, so that it may send orders to engines. */
bool member_may_give_orders(const struct ctrl *ctrl);

/* Another host has reported this fencing number: requests the state of the group again. */
void member_on_remote_fence(struct ctrl *ctrl, int64_t fence);

/* Requests the state of the group, after the store was restored from an older copy. */
void member_on_store_restored(struct ctrl *ctrl);

/*
 * Sets whether this host is a candidate for leader. A host that has just started and will soon have
 * a feed is none: it would lose the lead again as soon as it has the feed.
 */
void member_set_candidate(struct ctrl *ctrl, bool candidate);

/* loads.c: load reports of engines, from this host's own polling or from another host. */
GArray *loads_new(void);

/* Replaces the newest load reports (struct router_load) and passes them on. Owns the array. */
void loads_publish(struct ctrl *ctrl, GArray *loads);

/* Frees a single struct router_load that is not an element of an array. */
void loads_free_entry(gpointer load);

/* Processes a round of this host's own polling and passes on what changed. Owns the array. */
void loads_publish_round(struct ctrl *ctrl, GArray *loads);

/* suspect.c: suspicions that an endpoint is at fault; feeds carry them in both directions. */

/* Reason: the reader that polls all engines got no report from the engine. */
#define SUSPECT_NO_REPORT "no_report_to_reader"

/*
 * Reason: the endpoint did not answer one host while others did. The connection between the two may
 * be at fault, so other hosts check the endpoint themselves.
 */
#define SUSPECT_NO_ANSWER "no_answer"

/* Reason: the process of the endpoint has ended; connections to it are refused. */
#define SUSPECT_ENDED "ended"

/* Reason: the engine's report states a later start than its entry in the store. */
#define SUSPECT_RESTARTED "restarted"

/* Not a fault: the endpoint requested a back-off from another host, so this host prefers others. */
#define SUSPECT_RESTS "rests_elsewhere"

/* Not a fault: the endpoint announced that it leaves. Only its running requests continue. */
#define SUSPECT_LEAVING "leaving"

enum {
	/* Longest path: follower, relay, reader, another reader, its relay, its follower */
	SUSPECT_HOPS_MAX = 7
};

struct suspect {
	const char *endpoint; /* Incarnation of the endpoint */
	int64_t for_ms;	      /* Remaining duration of the suspicion, in milliseconds */
	const char *why;      /* Reason, one of SUSPECT_* */
	int hops;	      /* Number of hosts that have passed it on */
};

/* Passes on a suspicion from this host's traffic thread. May be called from any thread. */
void suspect_post(struct ctrl *ctrl, const char *endpoint, int64_t for_ms, const char *why);

/*
 * Processes a suspicion and sends it to the other hosts, except over the connection source, and to
 * the traffic thread. source is NULL if the suspicion came from that thread, which then gets none.
 */
void suspect_apply(struct ctrl *ctrl, const struct suspect *suspect, const void *source);

/* Whether the endpoint is regarded as dead, by a recent report of any host. */
bool suspect_is_dead(const struct ctrl *ctrl, const char *endpoint, int64_t now_us);

/* Processes a Suspect message of another host. Returns 0, or BASE_EFRAME if it is malformed. */
int suspect_on_msg(struct ctrl *ctrl, struct frm_conn *conn, const uint8_t *body,
		   size_t len) G_GNUC_WARN_UNUSED_RESULT;

/* Sends a suspicion to one host. */
void suspect_send(struct frm_conn *conn, const struct suspect *suspect);

/* state.c: updates the gauges of the control thread in the metrics. */
void state_update_gauges(const struct ctrl *ctrl, int64_t now_us);

/*
 * recall.c: a copy of the list of endpoints in the store. While the store is unavailable, the
 * entries of endpoints expire. A host that starts then would know no endpoints and reject all
 * requests until the endpoints have registered again, two seconds after the store is back. So the
 * first reader saves the list to the store whenever it has changed; a host that found the store
 * unavailable adds the saved endpoints that its list lacks, for those two seconds.
 */
struct recall *recall_new(struct ctrl *ctrl);
void recall_free(struct recall *recall);
void recall_on_tick(struct recall *recall, int64_t now_us);

/*
 * Called when the list has been read from the store. Returns whether the saved list must be added
 * before the list is used; else the few endpoints that have registered so far would get all waiting
 * requests of all hosts.
 */
bool recall_on_list_read(struct recall *recall);

/* Saves the list again, after the store was restored from a copy that may lack it. */
void recall_on_store_restored(struct recall *recall);

/* Whether this host has saved the list in its present version. */
bool recall_is_saved(const struct recall *recall);

/* placer.c: assignment of model layers to engines. */
struct placer *placer_new(struct ctrl *ctrl);
void placer_free(struct placer *placer);
void placer_on_tick(struct placer *placer, int64_t now_us);

/* Called when endpoints or the configuration have changed. */
void placer_on_change(struct placer *placer);

/* poll.c: polling of all engines for their load reports, on one host. */
struct poll *poll_new(struct ctrl *ctrl);
void poll_free(struct poll *poll);
void poll_on_tick(struct poll *poll, int64_t now_us);

/* Fills in the state of this host for rank_should_read_store() and rank_may_feed(). */
void ctrl_fill_rank_host(const struct ctrl *ctrl, struct rank_state *host);

/* feed.c: sending the data of the store to followers. */
struct feed *feed_new(struct ctrl *ctrl);
void feed_free(struct feed *feed);

/* Queues an endpoint record for followers; text.data is NULL if the endpoint was removed. */
void feed_on_record(struct feed *feed, int64_t place, const char *id, struct str text);

/* Called when the list of endpoints was read again completely, or changed without a record. */
void feed_on_list_replaced(struct feed *feed);

/* Returns the queue of endpoint records for followers. */
struct fpack *feed_packer(struct feed *feed);

/* Sends each follower the changes that it does not have yet. */
void feed_flush(struct feed *feed);

/* Callback for one connection; ctx is the caller's. */
typedef void (*feed_conn_fn)(void *ctx, struct frm_conn *conn);

/* Calls fn for the connection to each follower, except the connection source. */
void feed_for_each_follower(struct feed *feed, const void *source, feed_conn_fn fn, void *ctx);

/* follow.c: receiving the data of the store from a feeder. */
struct follow *follow_new(struct ctrl *ctrl);
void follow_free(struct follow *follow);
void follow_on_tick(struct follow *follow, int64_t now_us);

/*
 * Handles that this host reaches the store again: looks for a feeder anew, in short turns. Its
 * present one may have been cut off as well, and others know that the store was not away.
 */
void follow_on_store_regained(struct follow *follow);

/* Called when the list of hosts has changed. */
void follow_on_hosts_changed(struct follow *follow);

/* Whether this host has a feed and the feeder has contact with the store. */
bool follow_is_fed(const struct follow *follow);

/* Announces another host to the feeder. */
void follow_announce_host(struct follow *follow, const char *name, const struct ctrl_host *host);

/* Returns the name of the feeder, or NULL if there is no connection. */
const char *follow_feeder(const struct follow *follow);

/* Calls fn for the connection to the feeder, unless there is none or it is source. */
void follow_call_feeder(struct follow *follow, const void *source, feed_conn_fn fn, void *ctx);

/*
 * Returns the host that owns the key by rendezvous hashing; NULL if none. All hosts choose the same
 * one if they have found the same hosts unresponsive.
 */
const struct host *follow_key_owner(const struct follow *follow, const char *key);

/* Records whether another host answered, for the choice of feeders and key owners. */
void follow_on_contact_result(struct follow *follow, const char *host, enum host_evidence evidence);

#endif
