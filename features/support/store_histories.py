"""Seeded histories of a store that is restored from copies, and replicas of it."""

from attrs import define, field, frozen

from damaskrill.feed import Change, Page, Position

N_KEYS = 6
MAX_ERAS = 4


@frozen
class _WatchPage:
    """Answer to a watch, with the position that it follows."""

    after: Position
    page: Page


@define
class EmulatedStore:
    """Store whose writes, removals and restores are random."""

    random: object
    era: int = 1
    revision: int = 100
    log: list = field(factory=list)
    copies: list = field(factory=list)

    @property
    def state(self):
        state = {}
        for change in self.log:
            state[change.key] = change.value
        return {key: value for key, value in state.items() if value is not None}

    def step(self):
        draw = self.random.random()
        if draw < 0.05:
            self.copies.append((self.revision, list(self.log)))
        elif draw < 0.09 and self.copies and self.era < MAX_ERAS:
            self.revision, log = self.random.choice(self.copies[-2:])
            self.log = list(log)
            self.era += 1
            # The copies of the future that was lost do not exist any more.
            self.copies = [each for each in self.copies if each[0] <= self.revision]
        else:
            self.revision += 1
            key = f"k-{self.random.randrange(N_KEYS)}"
            is_removal = key in self.state and self.random.random() < 0.3
            value = None if is_removal else b"%d.%d" % (self.era, self.revision)
            self.log.append(Change(key=key, value=value, revision=self.revision))

    def read_list(self):
        newest = {change.key: change for change in self.log}
        items = tuple(each for each in newest.values() if each.value is not None)
        return Page(changes=items, at=Position(self.era, self.revision))

    def read(self, position):
        """Return what a reader at a position reads next."""
        if position.era != self.era or position.revision > self.revision:
            return self.read_list()
        changes = tuple(each for each in self.log if each.revision > position.revision)
        page = Page(changes=changes, at=Position(self.era, self.revision))
        return _WatchPage(position, page)


def apply_page(replica, page):
    """Deliver a page to a replica, as the reader does."""
    if isinstance(page, _WatchPage):
        # The reader discards an answer that does not follow its position.
        if replica.position == page.after:
            replica.apply_changes(page.page.changes, page.page.at)
    else:
        replica.apply_list(page.changes, page.at)


def apply_peer(replica, peer):
    """Deliver a peer's changes to a replica, as the links do."""
    own, other = replica.position, peer.position
    if other <= own:
        return
    changes = None
    if own.era == other.era and own.revision:
        changes = peer.changes_after(own.revision)
    if changes is None:
        replica.apply_list(peer.items, other)
    else:
        replica.apply_changes(changes, other)
