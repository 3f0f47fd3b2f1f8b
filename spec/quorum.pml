/* Election, leader lease and replacement of a lost data directory in masticquorum: three
 * hosts, terms up to MAX_TERM, logs up to MAX_LOG entries. Host 2 may lose its data directory
 * once; it then has identity 3, is removed from the voters (DEMOTE) and added again under that
 * identity (PROMOTE).
 *
 * Checked: a term has at most one leader; a new leader has the entries committed in earlier
 * terms; a committed entry never changes; while a leader holds its lease, no leader of a later
 * term exists.
 *
 * Left out: pre-vote, check-quorum (a leader may step down at any time), the release of
 * voters from their promise by a leader that resigns, snapshots, binding of storage
 * incarnations in the first election, messages of an earlier heartbeat round, delayed
 * acknowledgements of entries (acknowledgements for the lease are delayed), messages that
 * arrive after their sender's leadership has ended, clock drift, and any member change except
 * the demotion and promotion of host 2. Time is counted in ticks of half an election timeout;
 * an append carries the whole log.
 *
 * mutant: NO_PROMISE
 * mutant: NO_RESTART_WAIT
 * mutant: LEASE_FROM_RECEIPT
 * mutant: NO_STORAGE_CHECK
 * mutant: NO_LOG_CHECK
 * mutant: DOUBLE_VOTE
 * mutant: TWO_CHANGES
 */

#define HOSTS 3
#define MAX_TERM 3
#define MAX_LOG 4
#define TIMEOUT 2
#define NONE 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is encoded as its term times four plus its kind. */
#define EMPTY 0
#define DEMOTE 1
#define PROMOTE 2
#define ENTRY(t, kind) ((t) * 4 + (kind))
#define KIND(e) ((e) & 3)
#define LOG(h, i) entries[(h) * MAX_LOG + (i)]

/* Sets of voters are bit masks of identities. */
#define ALL 7
#define DEMOTED 3
#define REPAIRED 11
#define COUNT(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1))
#define HAS_QUORUM(s, voters) (COUNT((s) & (voters)) > COUNT(voters) / 2)

#ifdef NO_STORAGE_CHECK
#define BIT(h) (1 << (h))
#else
#define BIT(h) ((h) == 2 && lost -> 8 : (1 << (h)))
#endif

byte term[HOSTS];
byte vote[HOSTS] = NONE;
byte role[HOSTS];
byte size[HOSTS];
byte entries[HOSTS * MAX_LOG];
byte promise[HOSTS];

/* votes is the set of identities that granted their vote. For the current heartbeat round, sent
 * is the set of hosts that an append is on its way to, answered the set of hosts whose answer is
 * on its way to the leader, and heard the set of identities whose answer has arrived; left is
 * the number of ticks for which the round still counts. */
byte votes[HOSTS];
byte sent[HOSTS];
byte answered[HOSTS];
byte heard[HOSTS];
byte left[HOSTS];
byte lease[HOSTS];
/* done is true if the leader has committed its whole log. */
bool done[HOSTS];
bool lost = false;

/* committedIn is the term of the leader that first committed the entry. */
byte committed[MAX_LOG];
byte committedIn[MAX_LOG];
byte committedSize = 0;
bool led[MAX_TERM + 1];

byte i, t, voters, found;

inline setVoters(h) {
	voters = ALL;
	i = 0;
	do
	:: i < size[h] ->
		if
		:: KIND(LOG(h, i)) == DEMOTE -> voters = DEMOTED
		:: KIND(LOG(h, i)) == PROMOTE -> voters = REPAIRED
		:: else
		fi;
		i++
	:: else -> break
	od
}

inline follow(h) {
	role[h] = FOLLOWER;
	votes[h] = 0;
	sent[h] = 0;
	answered[h] = 0;
	heard[h] = 0;
	left[h] = 0;
	lease[h] = 0;
	done[h] = false
}

inline enterTerm(h, n) {
	if
	:: n > term[h] ->
		term[h] = n;
		vote[h] = NONE;
		follow(h)
	:: else
	fi
}

#ifdef NO_PROMISE
#define FREE(h) (role[h] != LEADER)
#else
#define FREE(h) (role[h] != LEADER && promise[h] == 0)
#endif

#define LAST_TERM(h) (size[h] == 0 -> 0 : LOG(h, size[h] - 1) / 4)
#ifdef NO_LOG_CHECK
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && size[c] >= size[v]))
#endif
#ifdef DOUBLE_VOTE
#define VOTE_FREE(v, c) true
#else
#define VOTE_FREE(v, c) (vote[v] == NONE || vote[v] == c)
#endif

inline campaign(h) {
	setVoters(h);
	if
	:: voters & BIT(h) ->
		follow(h);
		term[h]++;
		vote[h] = h;
		role[h] = CANDIDATE;
		votes[h] = BIT(h)
	:: else
	fi
}

inline grant(c, v) {
	enterTerm(v, term[c]);
	if
	:: VOTE_FREE(v, c) && UP_TO_DATE(c, v) ->
		vote[v] = c;
		votes[c] = votes[c] | BIT(v)
	:: else
	fi
}

inline checkCommitted(h) {
	i = 0;
	do
	:: i < committedSize ->
		assert(committedIn[i] >= term[h] || (i < size[h] && LOG(h, i) == committed[i]));
		i++
	:: else -> break
	od
}

inline becomeLeader(h) {
	setVoters(h);
	if
	:: HAS_QUORUM(votes[h], voters) ->
		assert(!led[term[h]]);
		led[term[h]] = true;
		checkCommitted(h);
		assert(h == 0 || lease[0] == 0 || term[0] > term[h]);
		assert(h == 1 || lease[1] == 0 || term[1] > term[h]);
		assert(h == 2 || lease[2] == 0 || term[2] > term[h]);
		role[h] = LEADER;
		votes[h] = 0;
		LOG(h, size[h]) = ENTRY(term[h], EMPTY);
		size[h]++
	:: else
	fi
}

inline startRound(h) {
	sent[h] = ALL & ~(1 << h);
	answered[h] = 0;
	heard[h] = BIT(h);
	left[h] = TIMEOUT
}

inline receive(h, v) {
	sent[h] = sent[h] & ~(1 << v);
	if
	:: term[v] > term[h] ->
		enterTerm(h, term[v])
	:: else ->
		enterTerm(v, term[h]);
		follow(v);
		promise[v] = TIMEOUT;
		answered[h] = answered[h] | (1 << v);
		i = 0;
		do
		:: i < MAX_LOG ->
			LOG(v, i) = LOG(h, i);
			i++
		:: else -> break
		od;
		size[v] = size[h]
	fi
}

inline hear(h, v) {
	answered[h] = answered[h] & ~(1 << v);
	heard[h] = heard[h] | BIT(v);
	setVoters(h);
	if
	:: HAS_QUORUM(heard[h], voters) ->
#ifdef LEASE_FROM_RECEIPT
		lease[h] = TIMEOUT;
#else
		lease[h] = (left[h] > lease[h] -> left[h] : lease[h]);
#endif
		t = term[h] + 1;
		do
		:: t <= MAX_TERM ->
			assert(!led[t]);
			t++
		:: else -> break
		od
	:: else
	fi
}

/* Only a voter in the leader's term counts: its log is a prefix of the leader's. */
#define STORES(h, v) ((v == h || term[v] == term[h]) && size[v] >= size[h] && LOG(v, size[h] - 1) == LOG(h, size[h] - 1))

inline commitAll(h) {
	setVoters(h);
	found = 0;
	if
	:: STORES(h, 0) -> found = found | BIT(0)
	:: else
	fi;
	if
	:: STORES(h, 1) -> found = found | BIT(1)
	:: else
	fi;
	if
	:: STORES(h, 2) -> found = found | BIT(2)
	:: else
	fi;
	if
	:: HAS_QUORUM(found, voters) ->
		done[h] = true;
		i = 0;
		do
		:: i < size[h] ->
			if
			:: i < committedSize -> assert(committed[i] == LOG(h, i))
			:: else -> committedIn[i] = term[h]
			fi;
			committed[i] = LOG(h, i);
			i++
		:: else -> break
		od;
		committedSize = (size[h] > committedSize -> size[h] : committedSize)
	:: else
	fi
}

inline change(h) {
	setVoters(h);
	if
	:: voters == ALL && h != 2 ->
		LOG(h, size[h]) = ENTRY(term[h], DEMOTE);
		done[h] = false;
		size[h]++
	:: voters == DEMOTED && lost ->
		LOG(h, size[h]) = ENTRY(term[h], PROMOTE);
		done[h] = false;
		size[h]++
	:: else
	fi
}

inline restart(h) {
	follow(h);
#ifdef NO_RESTART_WAIT
	promise[h] = 0
#else
	promise[h] = TIMEOUT
#endif
}

inline loseFolder() {
	lost = true;
	restart(2);
	term[2] = 0;
	vote[2] = NONE;
	size[2] = 0;
	i = 0;
	do
	:: i < MAX_LOG ->
		LOG(2, i) = 0;
		i++
	:: else -> break
	od
}

#define DOWN(x) x = (x > 0 -> x - 1 : 0)

inline tickHost(h) {
	DOWN(promise[h]);
	DOWN(lease[h]);
	DOWN(left[h]);
	if
	:: left[h] == 0 ->
		sent[h] = 0;
		answered[h] = 0;
		heard[h] = 0
	:: else
	fi
}

inline clean() {
	i = 0;
	t = 0;
	voters = 0;
	found = 0
}

/* Hosts 0 and 1 are symmetric, so the first campaign need not be that of host 1. */
#define MAY_BE_FIRST(h) (h != 1 || term[0] + term[1] + term[2] > 0)

#ifdef TWO_CHANGES
#define MAY_CHANGE(h) true
#else
#define MAY_CHANGE(h) done[h]
#endif

#define ACTIONS(h) \
	:: d_step { FREE(h) && MAY_BE_FIRST(h) && term[h] < MAX_TERM && size[h] < MAX_LOG -> campaign(h); clean() } \
	:: d_step { role[h] == CANDIDATE -> becomeLeader(h); clean() } \
	:: d_step { role[h] == LEADER -> follow(h) } \
	:: d_step { role[h] == LEADER && left[h] < TIMEOUT -> startRound(h) } \
	:: d_step { role[h] == LEADER && !done[h] -> commitAll(h); clean() } \
	:: d_step { role[h] == LEADER && MAY_CHANGE(h) && size[h] < MAX_LOG -> change(h); clean() } \
	:: d_step { role[h] != FOLLOWER || promise[h] < TIMEOUT -> restart(h) }

#define BETWEEN(h, v) \
	:: d_step { role[h] == CANDIDATE && FREE(v) && term[v] <= term[h] && !(votes[h] & BIT(v)) -> grant(h, v); clean() } \
	:: d_step { (sent[h] >> v) & 1 -> receive(h, v); clean() } \
	:: d_step { (answered[h] >> v) & 1 -> hear(h, v); clean() }

init {
	do
	ACTIONS(0)
	ACTIONS(1)
	ACTIONS(2)
	BETWEEN(0, 1)
	BETWEEN(0, 2)
	BETWEEN(1, 0)
	BETWEEN(1, 2)
	BETWEEN(2, 0)
	BETWEEN(2, 1)
	:: d_step { !lost -> loseFolder(); clean() }
	:: d_step { promise[0] + promise[1] + promise[2] + lease[0] + lease[1] + lease[2] + left[0] + left[1] + left[2] > 0 ->
		tickHost(0); tickHost(1); tickHost(2) }
	od
}
