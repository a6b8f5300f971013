"""Tests for the lookup of customers by API key."""

import pytest

from cranberryscale import errors
from cranberryscale.version import configuration
from cranberryscale.version import keys


def make_configuration(**changes):
    """Return a configuration with two customers and one withdrawn key."""
    published = [
        configuration.Key(keys.digest_key('good'), 'a'),
        configuration.Key(keys.digest_key('old'), 'b', withdrawn=True),
    ]
    return configuration.Configuration(
        customers={n: configuration.Customer(n, 1, 1) for n in 'ab'},
        keys={key.digest: key for key in published},
    )._replace(**changes)


def test_key_finds_its_customer():
    """A key must never be attributed to another customer."""
    assert keys.find_customer(make_configuration(), 'good').name == 'a'


@pytest.mark.parametrize('key', ['', 'goo', 'good ', 'old', '\udc80', 'é'])
def test_other_keys_are_unknown(key):
    """A withdrawn key must be indistinguishable from an unknown one."""
    with pytest.raises(errors.RequestError) as caught:
        keys.find_customer(make_configuration(), key)
    assert caught.value.code == 'key_unknown'
    assert caught.value.value == ''


def test_new_configuration_replaces_the_index():
    """A removed key must not be found in a cached index."""
    before = make_configuration()
    assert keys.find_customer(before, 'good')
    after = before._replace(keys={})
    with pytest.raises(errors.RequestError):
        keys.find_customer(after, 'good')


def test_withdrawn_key_is_logged_without_the_key(caplog):
    """Operators need to know that a withdrawn key is still in use."""
    with caplog.at_level('INFO'), pytest.raises(errors.RequestError):
        keys.find_customer(make_configuration(), 'old')
    assert 'event=withdrawn_key_refused customer=b' in caplog.text
    assert keys.digest_key('old') not in caplog.text
